package contract

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"github.com/hickorynotch/hickorynotch/internal/value/fault"
	"github.com/hickorynotch/hickorynotch/internal/value/set"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// File is a base file or an overlay, as JSON. Faults name it by Name.
type File struct {
	Name string
	Data json.RawMessage
}

// Merge puts overlay over base as a JSON merge patch (RFC 7396), and decodes and checks the result. An empty overlay changes
// nothing. The error lists all faults.
func Merge(base, overlay json.RawMessage) (Configuration, error) {
	c, faults := merge(File{Name: "Base", Data: base}, File{Name: "Overlay", Data: overlay})
	if err := faults.Err(); err != nil {
		return Configuration{}, Error.Wrap(err)
	}

	return c, nil
}

// CheckAll merges and checks the configuration of every zone of base. Faults name "Base" and, for example, "Overlays.Kochi",
// as these parts are called in the record of the platform's store.
func CheckAll(base json.RawMessage, overlays map[zone.Zone]json.RawMessage) error {
	files := Files{Base: File{Name: "Base", Data: base}, Overlays: make(map[zone.Zone]File, len(overlays))}
	for z, data := range overlays {
		files.Overlays[z] = File{Name: "Overlays." + string(z), Data: data}
	}
	_, faults := files.mergeAll()

	return Error.Wrap(faults.Err())
}

// mergeAll returns the configuration of every zone of the base, and the faults of all files without repetition.
func (f Files) mergeAll() (map[zone.Zone]Configuration, fault.List) {
	var faults fault.List
	size := len(f.Base.Data)
	for _, overlay := range f.Overlays {
		size += len(overlay.Data)
	}
	if size > MaxBytes {
		faults.Add("", "base and overlays together have %d bytes as JSON, at most %d are accepted", size, MaxBytes)

		return nil, faults.In(f.Base.Name)
	}

	sites := sitesOf(f.Base.Data)
	for _, z := range slices.Sorted(maps.Keys(f.Overlays)) {
		if !slices.Contains(sites, z) {
			var unknown fault.List
			unknown.Add("", "overlay for %q, which is not one of AvailabilityZones of %s", string(z), f.Base.Name)
			faults.Merge("", unknown.In(f.Overlays[z].Name))
		}
	}

	merged := make(map[zone.Zone]Configuration, len(sites))
	var seen set.Set[fault.Fault]
	collect := func(found fault.List) {
		for _, one := range found.Faults() {
			if seen.Add(one) {
				var added fault.List
				added.Add(one.Path, "%s", one.Message)
				faults.Merge("", added.In(one.File))
			}
		}
	}
	if len(sites) == 0 {
		_, found := merge(f.Base, File{})
		collect(found)
	}
	for _, z := range sites {
		c, found := merge(f.Base, f.Overlays[z])
		collect(found)
		merged[z] = c
	}

	return merged, faults
}

// sitesOf returns the zones that the base lists. It returns none if the base does not decode that far.
func sitesOf(base json.RawMessage) []zone.Zone {
	c, _ := decode(base)
	sites := slices.DeleteFunc(c.AvailabilityZones, func(z zone.Zone) bool { return z.Check() != nil })
	slices.Sort(sites)

	return slices.Compact(sites)
}

// merge returns the merged configuration and its faults, each of which names the file that has to be changed: the base if it
// has the fault by itself, and the overlay if the fault exists only with it or if the overlay sets the field.
func merge(base, overlay File) (Configuration, fault.List) {
	var faults, baseFaults, overlayFaults fault.List
	checkDocument(base.Data, &baseFaults)
	if len(overlay.Data) > 0 {
		checkDocument(overlay.Data, &overlayFaults)
	}
	faults.Merge("", baseFaults.In(base.Name))
	faults.Merge("", overlayFaults.In(overlay.Name))
	if len(faults.Faults()) > 0 {
		return Configuration{}, faults
	}
	if len(overlay.Data) == 0 {
		c, found := decodeAndCheck(base.Data)

		return c, found.In(base.Name)
	}

	checkRemovals(base.Data, overlay.Data, &overlayFaults)
	faults.Merge("", overlayFaults.In(overlay.Name))
	data, err := jsonpatch.MergePatch(base.Data, overlay.Data)
	if err != nil {
		overlayFaults.Add("", "cannot be merged: %s", err)

		return Configuration{}, overlayFaults.In(overlay.Name)
	}
	c, found := decodeAndCheck(data)
	if len(found.Faults()) == 0 {
		return c, faults
	}
	_, own := decodeAndCheck(base.Data)
	ownFaults := set.Of(own.Faults()...)
	for _, one := range found.Faults() {
		file := overlay.Name
		if ownFaults.Has(one) && !sets(overlay.Data, one.Path) {
			file = base.Name
		}
		var named fault.List
		named.Add(one.Path, "%s", one.Message)
		faults.Merge("", named.In(file))
	}

	return c, faults
}

// decodeAndCheck returns what data holds. A field that does not decode has only that fault.
func decodeAndCheck(data json.RawMessage) (Configuration, fault.List) {
	c, faults := decode(data)
	var undecoded set.Set[string]
	for _, one := range faults.Faults() {
		undecoded.Add(one.Path)
	}
	for _, one := range c.Check().Faults() {
		if !hasPrefix(undecoded, one.Path) {
			faults.Add(one.Path, "%s", one.Message)
		}
	}

	return c, faults
}

// hasPrefix reports whether paths has path or one that contains it.
func hasPrefix(paths set.Set[string], path string) bool {
	for path != "" {
		if paths.Has(path) {
			return true
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}

	return paths.Has("")
}

// checkRemovals records every null of the overlay for which the base has nothing to remove. Such a null is a misspelt name.
func checkRemovals(base, overlay json.RawMessage, faults *fault.List) {
	var walk func(base, overlay json.RawMessage, path string)
	walk = func(base, overlay json.RawMessage, path string) {
		var had, changes map[string]json.RawMessage
		if json.Unmarshal(overlay, &changes) != nil {
			return
		}
		if json.Unmarshal(base, &had) != nil {
			had = nil
		}
		for _, name := range slices.Sorted(maps.Keys(changes)) {
			if _, ok := had[name]; !ok && bytes.Equal(changes[name], []byte("null")) {
				faults.Add(join(path, name), "null removes a field that the base does not have")

				continue
			}
			walk(had[name], changes[name], join(path, name))
		}
	}
	walk(base, overlay, "")
}

// sets reports whether the overlay sets the field at path, or a list that contains it.
func sets(overlay json.RawMessage, path string) bool {
	path, _, _ = strings.Cut(path, "[")
	for name := range strings.SplitSeq(path, ".") {
		var members map[string]json.RawMessage
		if json.Unmarshal(overlay, &members) != nil {
			return false
		}
		inner, ok := members[name]
		if !ok {
			return false
		}
		overlay = inner
	}

	return true
}
