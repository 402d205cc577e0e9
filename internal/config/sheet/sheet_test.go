package sheet

import (
	"bytes"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/examples"
)

const header = "row,name,region,timezone,weight,service,method,path,deadline,customer,rate,burst,hash,domain,version,address,slots,from,until,inflight\n"

const validTable = header +
	"region,uruguay,,America/Montevideo\n" +
	"domain,uy1,uruguay,,1\n" +
	"service,recipes\n" +
	"version,recipes-1,,,,recipes\n" +
	"customer,andes,,,1,,,,,,10,5\n"

// invalidRows are rows with one fault each, and text that the error must contain.
var invalidRows = []struct{ name, rows, want string }{
	{"an unknown kind", "regoin,x\n", `bad.csv: row 7, column row: "regoin"`},
	{"a duplicate row", "customer,andes,,,1,,,,,,10,5\n", `bad.csv: row 7, column name: "andes"`},
	{"a dangling reference", "domain,uy2,urugay,,1\n", `bad.csv: row 7, column region: "urugay": want the name of a region row (uruguay)`},
	{"a negative number", "customer,b,,,1,,,,,,-4,5\n", `bad.csv: row 7, column rate: "-4"`},
	{"a number that is too large", "customer,b,,,1,,,,,,1e12,5\n", `bad.csv: row 7, column rate: "1e+12"`},
	{"text in a numeric column", "customer,b,,,1,,,,,,many,5\n", `bad.csv: row 7, column rate: "many": want a number`},
	{"a cell in a column that the kind does not have", "service,s,uruguay\n", `bad.csv: row 7, column region: "uruguay"`},
	{"an unknown time zone", "region,mars,,Mars/Olympus\n", `bad.csv: row 7, column timezone: "Mars/Olympus"`},
	{"a host name instead of an IP address", "target,t,,,,recipes,,,,,,,,uy1,recipes-1,example:80,2\n", `bad.csv: row 7, column address: "example:80"`},
	{"a hash that is not hexadecimal", "key,k,,,,,,,,andes,,,zz\n", `bad.csv: row 7, column hash: "zz"`},
	{"a time window without an end", "cap,c,uruguay,,,,,,,,5,,,,,,,22:00\n", `bad.csv: row 7, column until`},
	{"a cap without a limit", "cap,c,uruguay\n", `bad.csv: row 7, column rate`},
	{"two routes with the same pattern", "route,a,,,,recipes,GET,/x/{id},1s\nroute,b,,,,recipes,GET,/x/{name},1s\n", `bad.csv: row 8, column path: "/x/{name}"`},
	{"an invalid path pattern", "route,a,,,,recipes,GET,/x/{,1s\n", `bad.csv: row 7, column path: "/x/{"`},
	{"too many cells", "service,s,,,,,,,,,,,,,,,,,,,x,y\n", `bad.csv: row 7: "x": want at most 20 cells`},
	{"an unterminated quote", "service,\"s\n", `bad.csv: row`},
}

var _ = ginkgo.Describe("a table in CSV", func() {
	for _, c := range invalidRows {
		ginkgo.It("reports the file, row and column of "+c.name, func() {
			t, err := Decode("bad.csv", strings.NewReader(validTable+c.rows))
			gomega.Expect(t).To(gomega.BeNil())
			gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.want)))
		})
	}

	ginkgo.It("reports all faults, in the order of their rows", func() {
		_, err := Decode("bad.csv", strings.NewReader(validTable+"customer,b,,,1,,,,,,-4,5\ndomain,uy2,x,,1\n"))
		gomega.Expect(err).To(gomega.MatchError(gomega.MatchRegexp(`(?s)row 7.*row 8`)))
	})

	ginkgo.It("rejects an unknown column and a file that is too large", func() {
		_, err := Decode("bad.csv", strings.NewReader("row,name,colour\n"))
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(`row 1, column colour: "colour"`)))
		_, err = Decode("bad.csv", bytes.NewReader(make([]byte, MaxBytes+1)))
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("want at most 1048576 bytes")))
	})

	ginkgo.It("accepts the CSV variants that spreadsheet programs write", func() {
		text := "\xef\xbb\xbf" + strings.ReplaceAll(validTable, "\n", ",,,\r\n") + "\r\n# a remark\r\n" + `service,"orders",,,` + "\r\n"
		t, err := Decode("good.csv", strings.NewReader(text))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(t.Services).To(gomega.HaveLen(2))
	})

	for name, raw := range map[string][]byte{"the bank": examples.Bank, "Kavach": examples.Kavach} {
		ginkgo.It("decodes the table of "+name+" and encodes it without changes", func() {
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
	f.Add([]byte(validTable))
	f.Add(examples.Bank)
	for _, c := range invalidRows {
		f.Add([]byte(validTable + c.rows))
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
			t.Fatalf("Decode rejects the output of Encode: %v", err)
		}
	})
}
