package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// changedPaths returns the JSON paths in which the contents of two records differ, in order and at most limit of them.
// White space and the order of fields do not count.
func changedPaths(older, newer Record, limit int) []string {
	d := differences{limit: limit}
	d.walk("Base", parse(older.Base), parse(newer.Base))
	for _, z := range keys(older.Overlays, newer.Overlays) {
		d.walk("Overlays."+string(z), parse(older.Overlays[z]), parse(newer.Overlays[z]))
	}

	return d.paths
}

// absent stands for a document or field that is not there, which differs from null.
type absent struct{}

// parse decodes text. Numbers keep their text, so that large ones are not rounded into equality.
func parse(text json.RawMessage) any {
	if len(text) == 0 {
		return absent{}
	}
	var decoded any
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&decoded); err != nil {
		// Text that is not JSON is equal to the same text only.
		return string(text)
	}

	return decoded
}

type differences struct {
	limit int
	paths []string
}

func (d *differences) walk(path string, older, newer any) {
	if len(d.paths) >= d.limit || reflect.DeepEqual(older, newer) {
		return
	}
	switch o := older.(type) {
	case map[string]any:
		if n, ok := newer.(map[string]any); ok {
			for _, key := range keys(o, n) {
				d.walk(path+"."+key, field(o, key), field(n, key))
			}

			return
		}
	case []any:
		if n, ok := newer.([]any); ok && len(n) == len(o) {
			for i := range o {
				d.walk(fmt.Sprintf("%s[%d]", path, i), o[i], n[i])
			}

			return
		}
	}
	d.paths = append(d.paths, path)
}

func field(object map[string]any, key string) any {
	if value, ok := object[key]; ok {
		return value
	}

	return absent{}
}

func keys[K ~string, V any](a, b map[K]V) []K {
	all := maps.Clone(a)
	if all == nil {
		all = make(map[K]V)
	}
	maps.Copy(all, b)

	return slices.Sorted(maps.Keys(all))
}
