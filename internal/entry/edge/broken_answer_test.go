package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/proof/rawtarget"
)

// wholeAnswer is an ordinary answer, without the line that ends its head.
const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"

// brokenAnswers are what a target in trouble sends to requests with these words in their paths.
var brokenAnswers = map[string]rawtarget.Script{
	"reset":           {Answer: "HTTP/1.1 200 OK\r\n\r\n14 bytes of it", End: rawtarget.EndReset, Wait: rawtarget.BreakDelay},
	"closed":          {Answer: "HTTP/1.1 200 OK\r\n\r\n14 bytes of it", End: rawtarget.EndClose, Wait: rawtarget.BreakDelay},
	"half":            {Answer: "HTTP/1.1 200 OK\r\n\r\n14 bytes of it", End: rawtarget.EndHalf, Wait: rawtarget.BreakDelay},
	"length":          {Answer: "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n14 bytes of it", ReadBody: true, End: rawtarget.EndClose},
	"chunks":          {Answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ReadBody: true, End: rawtarget.EndClose},
	"blank":           {Answer: wholeAnswer + "X A: 1\r\n\r\nwell", ReadBody: true},
	"control":         {Answer: wholeAnswer + "X\x01A: 1\r\n\r\nwell", ReadBody: true},
	"interim":         {Answer: "HTTP/1.1 103 Early Hints\r\nX A: 1\r\n\r\n" + wholeAnswer + "\r\nwell", ReadBody: true},
	"leaving-by-word": {Answer: wholeAnswer + "X A: 1\r\nLeaving: 1\r\n\r\nwell", ReadBody: true},
	"refused-by-word": {Answer: "HTTP/1.1 503 X\r\nShed: 1\r\nX A: 1\r\nContent-Length: 0\r\n\r\n", ReadBody: true},
	"refused":         {Answer: "HTTP/1.1 503 X\r\nShed: 1\r\n\r\nno room", End: rawtarget.EndReset, Wait: rawtarget.BreakDelay},
}

// startTroubled starts a target that answers as brokenAnswers says, and well otherwise. Its answers
// have the IDs of their requests.
func startTroubled() *rawtarget.Target {
	t, err := rawtarget.StartFunc(func(r *http.Request) rawtarget.Script {
		word := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
		s, ok := brokenAnswers[word]
		if !ok {
			s = rawtarget.Script{Answer: wholeAnswer + "\r\nwell", ReadBody: true}
		}
		final := strings.LastIndex(s.Answer, "HTTP/1.1 ")
		status, fields, _ := strings.Cut(s.Answer[final:], "\r\n")
		s.Answer = s.Answer[:final] + status + "\r\nId: " + r.Header.Get("Id") + "\r\n" + fields
		return s
	})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(t.Close)
	return t
}

// upload sends a POST on a connection of its own, and returns the status and the body of a response
// that is framed as whole.
func (d *deployment) upload(path string, size int) (status int, body string) {
	c, err := net.Dial("tcp4", d.callerAddresses[0])
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nId: upload-%d\r\nKey: andes-key\r\nContent-Length: %d\r\n\r\n", path, requestCount.Add(1), size)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = c.Write(make([]byte, size))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for name := range resp.Header {
		gomega.Expect(name).NotTo(gomega.HavePrefix("X"), "a field of the broken head was passed on")
	}
	return resp.StatusCode, string(raw)
}

// Guards against a part of an answer, or one with a body that is not the target's, that reaches a
// caller as a whole one.
var _ = ginkgo.Describe("a broken answer of a target", func() {
	var d *deployment
	var troubled *rawtarget.Target
	ginkgo.BeforeEach(func() {
		d = newDeployment(0)
		troubled = startTroubled()
		d.store.put("target/troubled", d.registration(0, troubled.Address))
		table := testTable(1)
		table.Bounds = &lacewingramp.Bounds{
			Header: 16 << 10, Body: rawtarget.LongUpload, ReceiveTimeout: lacewingramp.Duration(10 * time.Second), IdleTimeout: lacewingramp.Duration(10 * time.Second),
		}
		d.store.put("table/now", table)
		gomega.Eventually(d.start(d.store).Ready, 5*time.Second).Should(gomega.BeTrue())
	})
	expectOrdinary := func() {
		status, body := d.upload("/order/well", 3)
		gomega.Expect(status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(body).To(gomega.Equal("well"))
	}

	ginkgo.DescribeTable("is 502 for the caller, runs once, and an ordinary request is served after it",
		func(word string, size int) {
			expectOrdinary()
			status, body := d.upload("/order/"+word, size)
			gomega.Expect(status).To(gomega.Equal(http.StatusBadGateway))
			gomega.Expect(body).To(gomega.BeEmpty())
			gomega.Expect(troubled.Requests.Load()).To(gomega.Equal(int32(2)))
			expectOrdinary()
		},
		ginkgo.Entry("to a long upload, reset", "reset", rawtarget.LongUpload),
		ginkgo.Entry("to a long upload, closed with bytes unread", "closed", rawtarget.LongUpload),
		ginkgo.Entry("to a long upload, ended alone and reset later", "half", rawtarget.LongUpload),
		ginkgo.Entry("with a blank behind the name of the length", "length", 3),
		ginkgo.Entry("with a blank behind the name of the coding", "chunks", 3),
		ginkgo.Entry("with a blank in a name", "blank", 3),
		ginkgo.Entry("with a control byte in a name", "control", 3),
		ginkgo.Entry("with a blank in a name of an interim head", "interim", 3),
		ginkgo.Entry("that says beside it that the target is leaving", "leaving-by-word", 3),
		ginkgo.Entry("that says beside it that the request has not run", "refused-by-word", 3),
	)

	ginkgo.It("is sent again if the request is idempotent, and no more often than its route allows", func() {
		other := startTroubled()
		d.store.put("target/troubled-2", d.registration(1, other.Address))
		gomega.Eventually(func() int32 {
			_, _ = d.upload("/read/well", 3)
			return other.Requests.Load()
		}, 5*time.Second).Should(gomega.BeNumerically(">", 0))
		before := troubled.Requests.Load() + other.Requests.Load()
		status, _ := d.upload("/read/reset", rawtarget.LongUpload)
		gomega.Expect(status).To(gomega.Equal(http.StatusBadGateway))
		gomega.Expect(troubled.Requests.Load() + other.Requests.Load() - before).To(gomega.Equal(int32(2)))
		expectOrdinary()
	})

	// Guards against 502 for a request that has not run.
	ginkgo.It("is told from a refusal, after which another target gets the request", func() {
		other, err := rawtarget.StartFunc(func(r *http.Request) rawtarget.Script {
			return rawtarget.Script{Answer: wholeAnswer + "Id: " + r.Header.Get("Id") + "\r\n\r\nwell", ReadBody: true}
		})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(other.Close)
		status, _ := d.upload("/order/refused", rawtarget.LongUpload)
		gomega.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
		d.store.put("target/other", d.registration(1, other.Address))
		gomega.Eventually(func() int32 {
			_, _ = d.upload("/read/well", 3)
			return other.Requests.Load()
		}, 5*time.Second).Should(gomega.BeNumerically(">", 0))
		refusals := troubled.Requests.Load()
		for n := 0; n < 40 && troubled.Requests.Load() == refusals; n++ {
			status, body := d.upload("/order/refused", rawtarget.LongUpload)
			gomega.Expect(status).To(gomega.Equal(http.StatusOK))
			gomega.Expect(body).To(gomega.Equal("well"))
		}
		gomega.Expect(troubled.Requests.Load()).To(gomega.BeNumerically(">", refusals), "the target that refuses got no request")
	})
})
