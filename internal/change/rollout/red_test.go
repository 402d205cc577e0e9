package rollout

import (
	"os"
	"slices"

	"github.com/onsi/ginkgo/v2"
)

// knownRed lists the tests that KNOWN-RED.txt lists.
var knownRed = []string{
	"that is 2.5 times slower", "that is 3 times slower", "that is slower, ordered while caches are cold",
	"that is slower, ordered with the first request", "that turns slow late", "that fails very late", "that fails under load",
	"at a low load", "among slow targets at the end",
}

var _ = ginkgo.BeforeEach(func() {
	if os.Getenv("LACEWINGRAMP_RED") == "" && slices.Contains(knownRed, ginkgo.CurrentSpecReport().LeafNodeText) {
		ginkgo.Skip("listed in KNOWN-RED.txt")
	}
})
