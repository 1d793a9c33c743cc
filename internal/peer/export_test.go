package peer

// FetchTimeout is how long a proxy waits for a document before it fetches it again.
const FetchTimeout = fetchTimeout
