package main

import (
	"flag"
	"fmt"
	"io"

	"github.com/hickorynotch/hickorynotch/internal/run/setting"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

// configurationFiles are the flags that name a base file and its overlays.
type configurationFiles struct {
	base     *string
	overlays []string
}

func (f *configurationFiles) setFlags(settings *setting.Set, flags *flag.FlagSet) {
	f.base = settings.String("base", "", "base file, YAML or JSON", setting.Required())
	flags.Func("overlay", "overlay file, whose name is the zone, or ZONE=FILE; may be repeated", func(text string) error {
		f.overlays = append(f.overlays, text)

		return nil
	})
}

// load reads, merges and checks the files. It prints all faults and returns false if there are any.
func (f *configurationFiles) load(faults io.Writer) (contract.Files, bool) {
	files, err := contract.Load(*f.base, f.overlays...)
	if err != nil {
		_, _ = fmt.Fprintln(faults, err)

		return contract.Files{}, false
	}

	return files, true
}
