package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/call/caller"
)

var _ = ginkgo.Describe("a server of an http.Handler", func() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /echo", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, r.URL.Query().Get("a")+" "+r.Host)
	})
	mux.HandleFunc("POST /body", func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusCreated)
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.Copy(w, r.Body)
	})
	mux.HandleFunc("GET /empty", func(http.ResponseWriter, *http.Request) {})

	ginkgo.DescribeTable("answers as the handler says", func(request string, status int, body string) {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = l.Close() }()
		s := &caller.Server{Handle: caller.HTTP(mux), Bounds: bounds}
		go func() { _ = s.Serve(l) }()
		c, err := net.Dial("tcp4", l.Addr().String())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		_, err = io.WriteString(c, request)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		got, err := io.ReadAll(resp.Body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(resp.StatusCode).To(gomega.Equal(status))
		gomega.Expect(resp.ContentLength).To(gomega.BeNumerically("==", len(got)))
		if body != "" {
			gomega.Expect(string(got)).To(gomega.Equal(body))
		}
	},
		ginkgo.Entry("to a query", "GET /echo?a=b%20c HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK, "b c h"),
		ginkgo.Entry("to a body", "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz", http.StatusCreated, "xyz"),
		ginkgo.Entry("with nothing", "GET /empty HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK, ""),
		ginkgo.Entry("to an unknown path", "GET /other HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusNotFound, ""),
		ginkgo.Entry("to another method", "DELETE /echo HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusMethodNotAllowed, ""),
	)
})
