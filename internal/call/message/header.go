package message

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders apply to one connection only and are not forwarded. Content-Length
// is among them, as it is written anew.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// RemoveHopByHopHeaders removes the hop-by-hop headers, including those that the
// Connection header lists.
func RemoveHopByHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// CheckFields returns a FormatError if the header of a response, interim or final, has an invalid
// field. Nothing of such a response may be used: a field that this program takes for another one
// than its sender or its receiver may frame the body, name another request, or say that the
// request has not run.
func CheckFields(h http.Header) error {
	name, ok := invalidField(h)
	if !ok {
		return nil
	}
	return &FormatError{Status: http.StatusBadGateway, Detail: fmt.Sprintf("invalid header field %.40q", name)}
}

// invalidField returns the name of a field whose name or value HTTP does not allow. net/http
// accepts a space before the colon, which the receiver of a forwarded message may take for a
// part of the name or not.
func invalidField(h http.Header) (string, bool) {
	for name, values := range h {
		if name == "" || strings.ContainsFunc(name, notInToken) {
			return name, true
		}
		for _, v := range values {
			if strings.ContainsAny(v, "\r\n\x00") {
				return name, true
			}
		}
	}
	return "", false
}

// notInToken reports whether a character may not occur in a token, which the name of a field
// is.
func notInToken(c rune) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return false
	}
	return !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}
