package loopback

import (
	"net"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("free addresses", func() {
	// Guards against an instance of a test that cannot listen, and is therefore never ready,
	// as the same port was chosen twice.
	ginkgo.It("differ", func() {
		seen := make(map[string]bool)
		for range 1000 {
			address, err := Free()
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(seen).NotTo(gomega.HaveKey(address))
			seen[address] = true
		}
	})

	// Guards against a port that an outgoing connection takes before a program listens on it.
	ginkgo.It("are not among those that the system chooses", func() {
		address, err := Free()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		host, _, err := net.SplitHostPort(address)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(host).NotTo(gomega.Equal("127.0.0.1"))
		l, err := net.Listen("tcp4", address)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(l.Close()).To(gomega.Succeed())
	})

	ginkgo.It("have a host that differs between processes", func() {
		gomega.Expect(host(1)).To(gomega.Equal("127.1.0.1"))
		gomega.Expect(host(4194303)).To(gomega.Equal("127.64.255.255"))
		gomega.Expect(host(300)).To(gomega.Equal("127.1.1.44"))
	})
})
