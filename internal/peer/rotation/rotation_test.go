package rotation_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/peer/rotation"
)

var _ = ginkgo.Describe("a selection", func() {
	all := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}

	ginkgo.It("has the first entries always, and all others in turn", func() {
		var r rotation.Rotation
		seen := make(map[int]bool)
		for range 4 {
			selected := rotation.Select(&r, all, 2, 2)
			gomega.Expect(selected).To(gomega.HaveLen(4))
			gomega.Expect(selected[:2]).To(gomega.Equal([]int{0, 1}))
			for _, n := range selected {
				seen[n] = true
			}
		}
		gomega.Expect(seen).To(gomega.HaveLen(len(all)))
	})

	ginkgo.It("has all of a list that is short enough", func() {
		gomega.Expect(rotation.Select(&rotation.Rotation{}, all, 5, 5)).To(gomega.Equal(all))
	})
})
