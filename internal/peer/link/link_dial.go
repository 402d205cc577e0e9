package link

import "strings"

// dialErrorPrefix is the start of the error message of a call whose connection could
// not be established.
const dialErrorPrefix = "connection error: desc = \"transport: "

// isDialError reports whether the message of an Unavailable error says that the
// connection could not be established. gRPC returns the same code for a connection
// that was lost during the call, so that only the message tells the cases apart.
func isDialError(message string) bool {
	return strings.HasPrefix(message, dialErrorPrefix+"Error while dialing") ||
		strings.HasPrefix(message, dialErrorPrefix+"authentication handshake failed")
}
