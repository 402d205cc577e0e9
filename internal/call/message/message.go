// Package message reads and writes HTTP/1.1 requests and responses on a plain
// connection. A message is read completely, with its body in memory.
//
// A message that is malformed or too large is reported as a FormatError with the
// status for its sender. A truncated response is an error and never passed on: the
// body has been read to its end before the first byte goes to the caller. A response that
// ends with its connection is only known to be whole on a Conn.
//
// # Usage
//
//	conn := &message.Conn{Conn: socket}
//	r := message.NewReader(conn)
//	request, err := r.Request(bounds, sendContinue)
//	...
//	_, err = conn.Write(message.AppendRequest(nil, request, header))
//	response, err := r.Response(request.Method)
package message

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// Limits of messages, in bytes.
const (
	// maxResponseHeader is the maximum size of the headers of a response and of the
	// interim ones before it together.
	maxResponseHeader = 64 << 10
	// maxResponseLines is how many lines of these may be read before more is read: a short
	// line takes many times its size in memory.
	maxResponseLines = 128
	// MaxResponseBody is the maximum size of a response body.
	MaxResponseBody = 16 << 20
	// maxStatus is the highest status of HTTP.
	maxStatus  = 599
	bufferSize = 4 << 10
	// headerSlack is how much more than the header bound may be read of a request
	// before its header is complete: the reader fills whole buffers, which can
	// hold a part of the body. The exact size is checked afterwards.
	headerSlack = bufferSize
)

// FormatError reports a message that is malformed or too large. Status is the
// status of the response to its sender.
type FormatError struct {
	Status int
	Detail string
}

// Error describes the fault of the message.
func (e *FormatError) Error() string {
	return fmt.Sprintf("invalid HTTP message: %s", e.Detail)
}

// Response is one complete response. Release has to be called when one that was read is no
// longer needed.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Close says that the sender closes the connection after the response.
	Close bool
	// UntilClose says that the body has neither a length nor chunks and ends with the
	// connection.
	UntilClose bool

	// taken is the memory that the body takes from budget.
	budget *Budget
	taken  int
}

// Release gives the memory of the body back to the budget from which it was taken. It may be
// called more than once, and for nil.
func (r *Response) Release() {
	if r == nil {
		return
	}
	r.budget.giveBack(r.taken)
	r.taken = 0
}

// Reader reads messages from one connection.
type Reader struct {
	*bufio.Reader
	// Budget bounds the memory of response bodies.
	Budget *Budget
	// Requests bounds the memory of requests, nil for no bound. Cut, which has to be set with
	// it, ends a read of the connection that is waiting for bytes.
	Requests *RequestBudget
	Cut      func()
	// Widen, if set, is called while a request body beyond NarrowBody arrives.
	Widen func()

	limit *limitReader
}

// NewReader returns a Reader on a connection.
func NewReader(r io.Reader) *Reader {
	l := &limitReader{reader: r, remaining: -1}
	return &Reader{Reader: bufio.NewReaderSize(l, bufferSize), limit: l}
}

var (
	errHeaderSize        = errors.New("header too large")
	errBodySize    error = &FormatError{Status: http.StatusBadGateway, Detail: "response body too large"}
	errRequestSize error = &FormatError{Status: http.StatusRequestEntityTooLarge, Detail: "request body too large"}
)

// limitReader fails after the remaining bytes have been read, or a buffer that holds the
// last of remainingLines line feeds. There is no limit if remaining is negative. err is the
// last error of the reader below it. While head is set, what is read of a head takes memory;
// noMemory is the error if there was none.
type limitReader struct {
	reader         io.Reader
	remaining      int64
	remainingLines int
	err            error
	head           *requestMemory
	noMemory       error
}

var lineFeed = []byte{'\n'}

func (l *limitReader) Read(p []byte) (int, error) {
	if l.noMemory != nil {
		// The bytes that found no memory are lost, and so is the connection.
		return 0, l.noMemory
	}
	if l.remaining > 0 && l.remainingLines == 0 {
		l.remaining = 0
	}
	if l.remaining == 0 {
		return 0, errHeaderSize
	}
	if l.remaining > 0 && int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.reader.Read(p)
	if l.remaining > 0 {
		l.remaining -= int64(n)
		l.remainingLines = max(0, l.remainingLines-bytes.Count(p[:n], lineFeed))
	}
	l.err = err
	if l.noMemory = l.head.takeHead(p[:n]); l.noMemory != nil {
		return 0, l.noMemory
	}
	return n, err
}

// Response reads one response to a request with the given method. Interim responses
// are skipped. Its error is a FormatError unless the connection has failed. If only the body
// cannot be read, the response is returned without it, beside the error. Fields of a trailer are
// not kept.
func (r *Reader) Response(method string) (*Response, error) {
	r.limit.remaining, r.limit.remainingLines = maxResponseHeader, maxResponseLines
	for {
		resp, err := http.ReadResponse(r.Reader, &http.Request{Method: method}) //nolint:bodyclose // see readResponse
		if err != nil {
			return nil, r.responseError(err)
		}
		if err := CheckFields(resp.Header); err != nil {
			return nil, err
		}
		if isInterim(resp.StatusCode) {
			continue
		}
		if !IsFinalStatus(resp.StatusCode) {
			return nil, &FormatError{Status: http.StatusBadGateway, Detail: fmt.Sprintf("status %03d is no final status", resp.StatusCode)}
		}
		r.limit.remaining = -1
		response, err := r.readResponse(resp)
		if err != nil {
			return &Response{Status: resp.StatusCode, Header: resp.Header, Close: true, UntilClose: isUntilClose(resp)}, r.responseError(err)
		}
		return response, nil
	}
}

// isInterim reports whether another response follows one with the given status. After 101
// no HTTP response follows, and no forwarded request asks for another protocol.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// IsFinalStatus reports whether a status may end an exchange: net/http also accepts responses
// with a status such as 000 or 999.
func IsFinalStatus(status int) bool {
	return status >= http.StatusOK && status <= maxStatus
}

// responseError returns an error as it is if the connection has failed, and any other
// as a FormatError.
func (r *Reader) responseError(err error) error {
	var formatErr *FormatError
	switch {
	case r.limit.remaining == 0:
		return &FormatError{Status: http.StatusBadGateway, Detail: errHeaderSize.Error()}
	case r.limit.err != nil || errors.As(err, &formatErr):
		return err
	}
	return &FormatError{Status: http.StatusBadGateway, Detail: err.Error()}
}

// readResponse reads the body of a response. It does not close the body, which would
// read the rest of one that is too large.
func (r *Reader) readResponse(resp *http.Response) (*Response, error) {
	untilClose := isUntilClose(resp)
	response := &Response{Status: resp.StatusCode, Header: resp.Header, Close: resp.Close || untilClose, UntilClose: untilClose}
	if resp.Body == http.NoBody {
		return response, nil
	}
	b, err := readBody(resp.Body, resp.ContentLength, MaxResponseBody, r.Budget)
	if err != nil {
		return nil, err
	}
	response.Body, response.budget, response.taken = b.buf, b.budget, b.taken
	return response, nil
}

// isUntilClose reports whether the body of a response has neither a length nor chunks. It then ends
// when the connection is closed.
func isUntilClose(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// AppendResponse appends, in wire format, a response to a request with the given
// method.
func AppendResponse(b []byte, resp *Response, method string) []byte {
	return append(AppendResponseHead(b, resp), SentBody(resp, method)...)
}

// AppendResponseHead appends what comes before the body of a response.
func AppendResponseHead(b []byte, resp *Response) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(resp.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(resp.Status)...)
	b = append(b, "\r\n"...)
	b = appendHeader(b, resp.Header)
	if resp.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	if mayHaveBody(resp.Status) {
		b = appendLength(b, len(resp.Body))
	}
	return append(b, "\r\n"...)
}

// SentBody returns the body that is sent of a response to a request with the given method.
func SentBody(resp *Response, method string) []byte {
	if !mayHaveBody(resp.Status) || method == http.MethodHead {
		return nil
	}
	return resp.Body
}

func mayHaveBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

func appendLength(b []byte, n int) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, "\r\n"...)
}

func appendHeader(b []byte, h http.Header) []byte {
	for name, values := range h {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}
