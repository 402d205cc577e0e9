package pool_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/pool"
)

var start = time.Unix(1_800_000_000, 0)

func instanceNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("edge-%d", i))
	}
	return names
}

var _ = ginkgo.Describe("a pool", func() {
	limits := map[string]lacewingramp.Limit{"andes": {Rate: 100, Burst: 100}}

	ginkgo.It("is kept by one instance, and starts empty at another once the store no longer lists the first", func() {
		var all []*pool.Keeper
		for _, name := range instanceNames(8) {
			k := &pool.Keeper{Self: name}
			k.Configure(start, limits)
			k.SetInstances(start, instanceNames(8))
			all = append(all, k)
		}
		keeper := all[0].KeeperOf("andes")
		kept := 0
		for _, k := range all {
			gomega.Expect(k.KeeperOf("andes")).To(gomega.Equal(keeper))
			if _, ok := k.TakeToken(start.Add(time.Second), "andes"); ok {
				kept++
				gomega.Expect(k.Self).To(gomega.Equal(keeper))
			}
		}
		gomega.Expect(kept).To(gomega.Equal(1))
		var remaining []string
		for _, name := range instanceNames(8) {
			if name != keeper {
				remaining = append(remaining, name)
			}
		}
		delistedAt := start.Add(2 * time.Second)
		for _, k := range all {
			k.SetInstances(delistedAt, remaining)
		}
		for _, k := range all {
			_, ok := k.TakeToken(delistedAt, "andes")
			gomega.Expect(ok).To(gomega.BeFalse(), "a pool starts empty at a new keeper")
		}
	})

	ginkgo.It("returns the time until it has a token", func() {
		k := &pool.Keeper{Self: "edge-0"}
		k.Configure(start, limits)
		k.SetInstances(start, instanceNames(1))
		wait, ok := k.TakeToken(start, "andes")
		gomega.Expect(ok).To(gomega.BeFalse())
		_, ok = k.TakeToken(start.Add(wait), "andes")
		gomega.Expect(ok).To(gomega.BeTrue())
	})

	ginkgo.It("has no keeper if the store lists no instance", func() {
		k := &pool.Keeper{Self: "edge-0"}
		k.Configure(start, limits)
		gomega.Expect(k.KeeperOf("andes")).To(gomega.BeEmpty())
		_, ok := k.TakeToken(start.Add(time.Second), "andes")
		gomega.Expect(ok).To(gomega.BeFalse())
	})
})
