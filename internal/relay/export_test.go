package relay

// CheckCustomer is exported for tests.
var CheckCustomer = checkCustomer
