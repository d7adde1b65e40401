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
	f.base = settings.String("base", "", "base file in YAML or JSON", setting.Required())
	flags.Func("overlay", "overlay: a file that is named after its zone, or ZONE=FILE; may be repeated", func(text string) error {
		f.overlays = append(f.overlays, text)

		return nil
	})
}

// load reads, merges and validates the files. If they are invalid, it prints all errors and returns false.
func (f *configurationFiles) load(errors io.Writer) (contract.Files, bool) {
	files, err := contract.Load(*f.base, f.overlays...)
	if err != nil {
		_, _ = fmt.Fprintln(errors, err)

		return contract.Files{}, false
	}

	return files, true
}
