package link

import "strings"

// dialText begins the message of a call for which no connection came about.
const dialText = "connection error: desc = \"transport: "

// isDialText reports whether an Unavailable error arose before a connection
// was there. gRPC gives the two cases one code and tells them apart by text.
func isDialText(message string) bool {
	return strings.HasPrefix(message, dialText+"Error while dialing") ||
		strings.HasPrefix(message, dialText+"authentication handshake failed")
}
