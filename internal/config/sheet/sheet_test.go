package sheet

import (
	"bytes"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/examples"
)

const head = "row,name,region,timezone,weight,service,method,path,deadline,customer,rate,burst,hash,domain,version,address,slots,from,until,inflight\n"

const base = head +
	"region,uruguay,,America/Montevideo\n" +
	"domain,uy1,uruguay,,1\n" +
	"service,recipes\n" +
	"version,recipes-1,,,,recipes\n" +
	"customer,andes,,,1,,,,,,10,5\n"

// bad are tables with one fault each, and what the error must name.
var bad = []struct{ name, rows, want string }{
	{"an unknown kind", "regoin,x\n", `bad.csv: row 7, column row: "regoin"`},
	{"a duplicate row", "customer,andes,,,1,,,,,,10,5\n", `bad.csv: row 7, column name: "andes"`},
	{"a dangling reference", "domain,uy2,urugay,,1\n", `bad.csv: row 7, column region: "urugay": want the name of a region row (uruguay)`},
	{"a negative number", "customer,b,,,1,,,,,,-4,5\n", `bad.csv: row 7, column rate: "-4"`},
	{"an absurd number", "customer,b,,,1,,,,,,1e12,5\n", `bad.csv: row 7, column rate: "1e+12"`},
	{"text for a number", "customer,b,,,1,,,,,,many,5\n", `bad.csv: row 7, column rate: "many": want a number`},
	{"a cell its kind does not use", "service,s,uruguay\n", `bad.csv: row 7, column region: "uruguay"`},
	{"a bad time zone", "region,mars,,Mars/Olympus\n", `bad.csv: row 7, column timezone: "Mars/Olympus"`},
	{"a host name for an address", "target,t,,,,recipes,,,,,,,,uy1,recipes-1,example:80,2\n", `bad.csv: row 7, column address: "example:80"`},
	{"a bad hash", "key,k,,,,,,,,andes,,,zz\n", `bad.csv: row 7, column hash: "zz"`},
	{"half a time window", "cap,c,uruguay,,,,,,,,5,,,,,,,22:00\n", `bad.csv: row 7, column until`},
	{"a cap of nothing", "cap,c,uruguay\n", `bad.csv: row 7, column rate`},
	{"two routes of one pattern", "route,a,,,,recipes,GET,/x/{id},1s\nroute,b,,,,recipes,GET,/x/{name},1s\n", `bad.csv: row 8, column path: "/x/{name}"`},
	{"a path that is none", "route,a,,,,recipes,GET,/x/{,1s\n", `bad.csv: row 7, column path: "/x/{"`},
	{"too many cells", "service,s,,,,,,,,,,,,,,,,,,,x,y\n", `bad.csv: row 7: "x": want at most 20 cells`},
	{"an open quote", "service,\"s\n", `bad.csv: row`},
}

var _ = ginkgo.Describe("a sheet", func() {
	for _, c := range bad {
		ginkgo.It("names file, row and column of "+c.name, func() {
			t, err := Decode("bad.csv", strings.NewReader(base+c.rows))
			gomega.Expect(t).To(gomega.BeNil())
			gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.want)))
		})
	}

	ginkgo.It("lists all faults at once, in order of their rows", func() {
		_, err := Decode("bad.csv", strings.NewReader(base+"customer,b,,,1,,,,,,-4,5\ndomain,uy2,x,,1\n"))
		gomega.Expect(err).To(gomega.MatchError(gomega.MatchRegexp(`(?s)row 7.*row 8`)))
	})

	ginkgo.It("refuses an unknown column and a file that is too long", func() {
		_, err := Decode("bad.csv", strings.NewReader("row,name,colour\n"))
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(`row 1, column colour: "colour"`)))
		_, err = Decode("bad.csv", bytes.NewReader(make([]byte, MaxBytes+1)))
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("want at most 1048576 bytes")))
	})

	ginkgo.It("accepts what spreadsheet programs write", func() {
		text := "\xef\xbb\xbf" + strings.ReplaceAll(base, "\n", ",,,\r\n") + "\r\n# a remark\r\n" + `service,"orders",,,` + "\r\n"
		t, err := Decode("good.csv", strings.NewReader(text))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(t.Services).To(gomega.HaveLen(2))
	})

	for name, raw := range map[string][]byte{"the bank": examples.Bank, "Kavach": examples.Kavach} {
		ginkgo.It("reads the table of "+name+" and writes it back unchanged", func() {
			t, err := Decode("table.csv", bytes.NewReader(raw))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(t.Targets).To(gomega.HaveLen(36))
			gomega.Expect(t.Customers).To(gomega.HaveLen(8))
			var b bytes.Buffer
			gomega.Expect(Encode(&b, t)).To(gomega.Succeed())
			again, err := Decode("table.csv", &b)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(again).To(gomega.Equal(t))
			lines, err := Diff(t, again)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(lines).To(gomega.BeEmpty())
		})
	}
})

func FuzzDecode(f *testing.F) {
	f.Add([]byte(base))
	f.Add(examples.Bank)
	for _, c := range bad {
		f.Add([]byte(base + c.rows))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		table, err := Decode("fuzz.csv", bytes.NewReader(raw))
		if (table == nil) == (err == nil) {
			t.Fatal("want a table or an error")
		}
		if err != nil {
			return
		}
		var b bytes.Buffer
		if err := Encode(&b, table); err != nil {
			t.Fatal(err)
		}
		if _, err := Decode("fuzz.csv", &b); err != nil {
			t.Fatalf("what was written is refused: %v", err)
		}
	})
}
