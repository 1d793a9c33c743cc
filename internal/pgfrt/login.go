package pgfrt

import (
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"poplarrouter.example/poplarrouter/internal/wire"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

const (
	loginTimeout = 10 * time.Second
	mechanism    = "SCRAM-SHA-256"
	// maxStartups is the maximum number of start-up messages, including requests for encryption.
	maxStartups = 3
)

// cancelOnlyError reports that the connection carried only a cancel request.
type cancelOnlyError struct{}

// Error implements error.
func (cancelOnlyError) Error() string { return "log in: the connection carried a cancel request" }

// login reads the start-up messages, authenticates the caller, and completes the log-in.
func (s *session) login() error {
	if err := s.SetDeadline(time.Now().Add(loginTimeout)); err != nil {
		return err
	}
	start, err := s.readStartup()
	if err != nil {
		return err
	}
	if err := s.identify(start); err != nil {
		return err
	}
	if err := s.authenticate(); err != nil {
		return err
	}
	if err := s.completeLogin(); err != nil {
		return err
	}
	return s.SetDeadline(time.Time{})
}

func (s *session) readStartup() (*pgproto3.StartupMessage, error) {
	for range maxStartups {
		message, err := s.in.Startup()
		if err != nil {
			return nil, fault.Wrap(err, fault.Protocol, "log in", "got no valid start-up message")
		}
		switch start := message.(type) {
		case *pgproto3.StartupMessage:
			return start, nil
		case *pgproto3.CancelRequest:
			s.Cancel(start.ProcessID, start.SecretKey)
			return nil, cancelOnlyError{}
		default:
			if _, err := s.Write([]byte("N")); err != nil {
				return nil, err
			}
		}
	}
	return nil, fault.New(fault.Protocol, "log in", "got %d requests for encryption, want a start-up message", maxStartups)
}

// identify checks that the sheet allows the caller on the service, before any connection to a member
// is used, and reads the caller's settings from the start-up message.
func (s *session) identify(start *pgproto3.StartupMessage) error {
	s.Caller.Name = start.Parameters["user"]
	s.Caller.Service = start.Parameters["database"]
	if s.Caller.Service == "" {
		s.Caller.Service = s.Caller.Name
	}
	rows, allowed := s.Options().Documents.Book().Sheet().RowsFor(s.Caller.Service, s.Caller.Name)
	if !allowed {
		return fault.New(fault.Denied, "log in", "caller %q is not allowed on service %q", s.Caller.Name, s.Caller.Service)
	}
	for name, value := range start.Parameters {
		if err := s.set(name, value); err != nil {
			return err
		}
	}
	if err := s.readOptions(start.Parameters["options"]); err != nil {
		return err
	}
	return s.takeAdmissionSlot(rows)
}

// takeAdmissionSlot takes an admission slot of the rank of the kind of work that the caller named in the
// start-up message, or of its least urgent kind. A kind that the sheet does not list is rejected with
// the first request.
func (s *session) takeAdmissionSlot(rows []sheet.Row) error {
	work, listed := sheet.RowForLabel(rows, s.kind)
	if !listed {
		work, _ = sheet.RowForLabel(rows, "")
	}
	return s.TakeAdmissionSlot(work.Rank)
}

// readOptions reads the proxy's settings from a start-up option such as
// "-c poplarrouter.kind=stock". It ignores other settings, for which the member's defaults apply.
func (s *session) readOptions(options string) error {
	for _, word := range splitOptions(options) {
		name, value, found := strings.Cut(strings.TrimPrefix(strings.TrimPrefix(word, "--"), "-c"), "=")
		if !found {
			continue
		}
		if err := s.set(name, value); err != nil {
			return err
		}
	}
	return nil
}

// splitOptions splits start-up options into words as PostgreSQL does: at white space, where a
// backslash makes the next byte part of the word.
func splitOptions(options string) []string {
	var words []string
	var word []byte
	for i := 0; i < len(options); i++ {
		switch b := options[i]; b {
		case ' ', '\t', '\n', '\v', '\f', '\r':
			if word != nil {
				words, word = append(words, string(word)), nil
			}
		case '\\':
			i++
			word = append(word, options[min(i, len(options)):min(i+1, len(options))]...)
		default:
			word = append(word, b)
		}
	}
	if word != nil {
		words = append(words, string(word))
	}
	return words
}

// set applies one of the proxy's settings and ignores other settings.
func (s *session) set(name, value string) error {
	switch strings.ToLower(name) {
	case wire.KindSetting:
		s.kind = value
	case wire.FloorSetting:
		if value == "" {
			s.floor, s.hasToken = group.Floor{}, true
			return nil
		}
		floor, err := group.ParseFloor(value)
		if err != nil {
			return fault.Wrap(err, fault.Protocol, "set "+wire.FloorSetting, "got %q, want term:position", value)
		}
		s.floor, s.hasToken = floor, true
	}
	return nil
}

// authenticate runs a SCRAM exchange with the caller, using the verifier in the sheet.
func (s *session) authenticate() error {
	secret, _ := s.Options().Documents.Book().Sheet().Secret(s.Caller.Name)
	credentials, err := parseVerifier(secret)
	if err != nil {
		return err
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return fault.Wrap(err, fault.Denied, "log in", "authentication is not available")
	}
	s.out.Put(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	if err := s.out.Flush(); err != nil {
		return err
	}
	return s.exchangeSCRAM(server.NewConversation())
}

func (s *session) exchangeSCRAM(conversation *scram.ServerConversation) error {
	denied := func(cause error) error {
		return fault.Wrap(cause, fault.Denied, "log in", "password authentication failed for caller %q", s.Caller.Name)
	}
	var first pgproto3.SASLInitialResponse
	if err := s.in.ReceiveInto(&first); err != nil {
		return denied(err)
	}
	if first.AuthMechanism != mechanism {
		return denied(fault.New(fault.Protocol, "log in", "got mechanism %q, want %q", first.AuthMechanism, mechanism))
	}
	challenge, err := conversation.Step(string(first.Data))
	if err != nil {
		return denied(err)
	}
	s.out.Put(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	if err := s.out.Flush(); err != nil {
		return err
	}
	var second pgproto3.SASLResponse
	if err := s.in.ReceiveInto(&second); err != nil {
		return denied(err)
	}
	final, err := conversation.Step(string(second.Data))
	if err != nil || !conversation.Valid() {
		return denied(err)
	}
	s.out.Put(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return nil
}

// parseVerifier parses a verifier of the form
// SCRAM-SHA-256$iterations:salt$stored:server, the form in which PostgreSQL stores it.
func parseVerifier(text string) (scram.StoredCredentials, error) {
	invalid := fault.New(fault.Denied, "log in", "the sheet contains no valid verifier for the caller")
	parts := strings.FieldsFunc(text, func(r rune) bool { return r == '$' || r == ':' })
	const wantParts = 5
	if len(parts) != wantParts {
		return scram.StoredCredentials{}, invalid
	}
	iterations, err := strconv.Atoi(parts[1])
	if err != nil {
		return scram.StoredCredentials{}, invalid
	}
	var decoded [3][]byte
	for i := range decoded {
		decoded[i], err = base64.StdEncoding.DecodeString(parts[i+2])
		if err != nil {
			return scram.StoredCredentials{}, invalid
		}
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(decoded[0]), Iters: iterations},
		StoredKey:  decoded[1],
		ServerKey:  decoded[2],
	}, nil
}

// Verifier returns the SCRAM verifier of a password, for a sheet's Secret column.
func Verifier(password, salt string, iterations int) (string, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", err
	}
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: salt, Iters: iterations})
	if err != nil {
		return "", err
	}
	encode := func(raw []byte) string { return base64.StdEncoding.EncodeToString(raw) }
	return mechanism + "$" + strconv.Itoa(iterations) + ":" + encode([]byte(salt)) + "$" + encode(c.StoredKey) + ":" + encode(c.ServerKey), nil
}

// completeLogin completes the log-in. It sends the caller its cancel key and the parameters that drivers
// expect from a server.
func (s *session) completeLogin() error {
	s.out.Put(&pgproto3.AuthenticationOk{})
	for _, status := range []pgproto3.ParameterStatus{
		{Name: "server_version", Value: "16.0"},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
		{Name: wire.FloorSetting, Value: s.floor.String()},
	} {
		s.out.Put(&status)
	}
	s.out.Put(s.key)
	s.out.Put(&pgproto3.ReadyForQuery{TxStatus: wire.Idle})
	return s.out.Flush()
}

// fatalResponse returns the response for an error that ends the connection.
func fatalResponse(err *fault.Error) *pgproto3.ErrorResponse {
	response := errorResponse(err)
	response.Severity, response.SeverityUnlocalized = "FATAL", "FATAL"
	return response
}

func errorResponse(err *fault.Error) *pgproto3.ErrorResponse {
	// A NUL would end the message, and its rest would be read as other fields.
	message := strings.ReplaceAll(err.Message(), "\x00", `\x00`)
	return &pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: err.Kind.SQLState(), Message: message,
		Detail: "Outcome: " + err.Kind.Outcome().String() + ".",
	}
}
