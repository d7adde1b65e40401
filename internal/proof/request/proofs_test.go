package request_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("docs/PROOFS.md", func() {
	It("names only tests that exist and states the number of cells that run", func() {
		root := ".."
		page, err := os.ReadFile(filepath.Join(root, "..", "..", "docs", "PROOFS.md"))
		Expect(err).NotTo(HaveOccurred())
		tests := regexp.MustCompile("`([a-z/]+_test\\.go): ([^`]+)`").FindAllSubmatch(page, -1)
		Expect(len(tests)).To(BeNumerically(">", 5))
		for _, test := range tests {
			code, err := os.ReadFile(filepath.Join(root, string(test[1])))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(code)).To(MatchRegexp(`(func |(It|DescribeTable|Entry)\(")` + regexp.QuoteMeta(string(test[2])) + `["(]`))
		}
		Expect(string(page)).To(ContainSubstring("%s", fmt.Sprintf("%d of %d cells", possibleCells(), len(faults)*int(steps))))
	})
})
