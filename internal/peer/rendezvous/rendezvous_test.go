package rendezvous_test

import (
	"fmt"
	"slices"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/peer/rendezvous"
)

var _ = ginkgo.Describe("the owner of a task", func() {
	var names []string
	for i := range 8 {
		names = append(names, fmt.Sprint("edge-", i))
	}

	ginkgo.It("does not depend on the order of the instances", func() {
		reversed := slices.Clone(names)
		slices.Reverse(reversed)
		for i := range 100 {
			gomega.Expect(rendezvous.Owner(fmt.Sprint(i), names)).To(gomega.Equal(rendezvous.Owner(fmt.Sprint(i), reversed)))
		}
	})

	ginkgo.It("changes only for the tasks of an instance that leaves", func() {
		counts := make(map[string]int)
		for i := range 800 {
			key := fmt.Sprint(i)
			before, after := rendezvous.Owner(key, names), rendezvous.Owner(key, names[:7])
			counts[before]++
			if before != names[7] {
				gomega.Expect(after).To(gomega.Equal(before))
			}
		}
		for _, n := range names {
			gomega.Expect(counts[n]).To(gomega.BeNumerically("~", 100, 40), n)
		}
	})

	ginkgo.It("is empty without instances", func() {
		gomega.Expect(rendezvous.Owner("k", nil)).To(gomega.BeEmpty())
	})
})
