package schedule

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

func parseTime(text string) time.Time {
	t, err := time.Parse(time.RFC3339, text)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return t
}

func newSchedule(from, until, zone string) Schedule {
	var c lacewingramp.Cap
	gomega.Expect(c.From.UnmarshalText([]byte(from))).To(gomega.Succeed())
	gomega.Expect(c.Until.UnmarshalText([]byte(until))).To(gomega.Succeed())
	return New(c, zone)
}

var _ = ginkgo.Describe("a schedule", func() {
	ginkgo.DescribeTable("is in force at times of day in the region's time zone", func(from, until, zone, at string, inForce bool) {
		gomega.Expect(newSchedule(from, until, zone).InForce(parseTime(at))).To(gomega.Equal(inForce))
	},
		ginkgo.Entry("before", "22:00", "06:00", "America/Argentina/Mendoza", "2027-01-10T00:59:59Z", false),
		ginkgo.Entry("at its start", "22:00", "06:00", "America/Argentina/Mendoza", "2027-01-10T01:00:00Z", true),
		ginkgo.Entry("after midnight", "22:00", "06:00", "America/Argentina/Mendoza", "2027-01-10T08:59:59Z", true),
		ginkgo.Entry("at its end", "22:00", "06:00", "America/Argentina/Mendoza", "2027-01-10T09:00:00Z", false),
		ginkgo.Entry("within a day", "09:00", "17:00", "Asia/Kolkata", "2027-01-10T04:00:00Z", true),
		ginkgo.Entry("outside of it, on the same day", "09:00", "17:00", "Asia/Kolkata", "2027-01-10T12:00:00Z", false),
		// Chile sets its clocks back at 2027-04-04T03:00Z: 23:00 comes twice.
		ginkgo.Entry("at the first of two 23:30", "23:30", "06:00", "America/Santiago", "2027-04-04T02:30:00Z", true),
		ginkgo.Entry("before the first of two 23:30", "23:30", "06:00", "America/Santiago", "2027-04-04T02:29:00Z", false),
		ginkgo.Entry("until the second of two 23:30", "20:00", "23:30", "America/Santiago", "2027-04-04T03:29:00Z", true),
	)

	ginkgo.It("finds a window that begins before the deadline of a request", func() {
		s := newSchedule("22:00", "06:00", "UTC")
		w, ok := s.FirstOverlap(parseTime("2027-01-10T21:59:58Z"), parseTime("2027-01-10T22:00:01Z"))
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(w.Start).To(gomega.BeTemporally("==", parseTime("2027-01-10T22:00:00Z")))
		_, ok = s.FirstOverlap(parseTime("2027-01-10T21:00:00Z"), parseTime("2027-01-10T21:59:59Z"))
		gomega.Expect(ok).To(gomega.BeFalse())
	})

	ginkgo.It("without times is always in force", func() {
		gomega.Expect(New(lacewingramp.Cap{}, "UTC").InForce(parseTime("2027-01-10T12:00:00Z"))).To(gomega.BeTrue())
	})
})
