package routing_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/routing"
)

var _ = ginkgo.Describe("a map of routes and keys", func() {
	m := routing.New(&lacewingramp.Table{
		Routes: []lacewingramp.Route{
			{Name: "short", Host: "bank.example", Prefix: "/a/"},
			{Name: "long", Host: "bank.example", Prefix: "/a/b/"},
			{Name: "other", Host: "kavach.example", Prefix: "/a/", Regions: lacewingramp.NameList{"gulf"}},
		},
		Customers: []lacewingramp.Customer{{Name: "andes", Rate: 5, Burst: 2}, {Name: "free"}},
		Keys:      []lacewingramp.AccessKey{{Name: "andes-1", Customer: "andes", Hash: routing.Hash("secret")}},
	})

	ginkgo.DescribeTable("finds the host's route with the longest matching prefix",
		func(host, path, want string) {
			r, ok := m.Route(host, path)
			if want == "" {
				gomega.Expect(ok).To(gomega.BeFalse())
				return
			}
			gomega.Expect(r.Name).To(gomega.Equal(want))
		},
		ginkgo.Entry("both prefixes match", "bank.example", "/a/b/c", "long"),
		ginkgo.Entry("only the shorter prefix matches", "bank.example", "/a/bc", "short"),
		ginkgo.Entry("a host with a port and capitals", "Bank.Example:80", "/a/x", "short"),
		ginkgo.Entry("another host", "kavach.example", "/a/b/c", "other"),
		ginkgo.Entry("a path without the prefix's last slash", "bank.example", "/a", ""),
		ginkgo.Entry("an unknown host", "x.example", "/a/", ""),
	)

	ginkgo.It("finds a customer by its key, and not by the key's hash or the customer's name", func() {
		c, ok := m.Customer("secret")
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(c.Name).To(gomega.Equal("andes"))
		for _, key := range []string{"", "andes", routing.Hash("secret")} {
			_, ok := m.Customer(key)
			gomega.Expect(ok).To(gomega.BeFalse())
		}
	})

	ginkgo.It("has no limit for a customer whose rate is zero", func() {
		gomega.Expect(m.Limits()).To(gomega.Equal(map[string]lacewingramp.Limit{"andes": {Rate: 5, Burst: 2}}))
	})
})
