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

// File is a base file or an overlay, converted to JSON.
type File struct {
	// Name identifies the file in faults.
	Name string
	Data json.RawMessage
}

// Merge applies overlay to base as a JSON merge patch (RFC 7396), and decodes and checks the result. If overlay is nil or has no
// bytes, base is decoded and checked alone. The error lists all faults.
func Merge(base, overlay json.RawMessage) (Configuration, error) {
	c, faults := merge(File{Name: "Base", Data: base}, File{Name: "Overlay", Data: overlay})
	if err := faults.Err(); err != nil {
		return Configuration{}, Error.Wrap(err)
	}

	return c, nil
}

// CheckAll merges and checks the configuration of every zone that base lists. Faults name the base and the overlays by their fields
// in the record in the platform's store: "Base" and, for example, "Overlays.Kochi".
func CheckAll(base json.RawMessage, overlays map[zone.Zone]json.RawMessage) error {
	files := Files{Base: File{Name: "Base", Data: base}, Overlays: make(map[zone.Zone]File, len(overlays))}
	for z, data := range overlays {
		files.Overlays[z] = File{Name: "Overlays." + string(z), Data: data}
	}
	_, faults := files.mergeAll()

	return Error.Wrap(faults.Err())
}

// mergeAll returns the merged configuration of every zone that the base lists, and the faults of all files without duplicates.
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

	zones := listedZones(f.Base.Data)
	for _, z := range slices.Sorted(maps.Keys(f.Overlays)) {
		if !slices.Contains(zones, z) {
			var unknown fault.List
			unknown.Add("", "overlay for %q, which is not one of AvailabilityZones of %s", string(z), f.Base.Name)
			faults.Merge("", unknown.In(f.Overlays[z].Name))
		}
	}

	merged := make(map[zone.Zone]Configuration, len(zones))
	var known set.Set[fault.Fault]
	addNew := func(zoneFaults fault.List) {
		for _, candidate := range zoneFaults.Faults() {
			if known.Add(candidate) {
				var added fault.List
				added.Add(candidate.Path, "%s", candidate.Message)
				faults.Merge("", added.In(candidate.File))
			}
		}
	}
	if len(zones) == 0 {
		_, baseFaults := merge(f.Base, File{})
		addNew(baseFaults)
	}
	for _, z := range zones {
		c, zoneFaults := merge(f.Base, f.Overlays[z])
		addNew(zoneFaults)
		merged[z] = c
	}

	return merged, faults
}

// listedZones returns the valid zone names in AvailabilityZones of the base, sorted and without duplicates. It returns none if the
// list cannot be decoded.
func listedZones(base json.RawMessage) []zone.Zone {
	c, _ := decode(base)
	zones := slices.DeleteFunc(c.AvailabilityZones, func(z zone.Zone) bool { return z.Check() != nil })
	slices.Sort(zones)

	return slices.Compact(zones)
}

// merge returns the merged configuration and its faults. Each fault names the file that must be changed to fix it. This is the base
// if the base alone has the same fault and the overlay does not set the field, and otherwise the overlay.
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
		c, checkFaults := decodeAndCheck(base.Data)

		return c, checkFaults.In(base.Name)
	}

	checkRemovals(base.Data, overlay.Data, &overlayFaults)
	faults.Merge("", overlayFaults.In(overlay.Name))
	data, err := jsonpatch.MergePatch(base.Data, overlay.Data)
	if err != nil {
		overlayFaults.Add("", "cannot be merged: %s", err)

		return Configuration{}, overlayFaults.In(overlay.Name)
	}
	c, mergedFaults := decodeAndCheck(data)
	if len(mergedFaults.Faults()) == 0 {
		return c, faults
	}
	_, unmergedFaults := decodeAndCheck(base.Data)
	inBase := set.Of(unmergedFaults.Faults()...)
	for _, f := range mergedFaults.Faults() {
		file := overlay.Name
		if inBase.Has(f) && !setsField(overlay.Data, f.Path) {
			file = base.Name
		}
		var named fault.List
		named.Add(f.Path, "%s", f.Message)
		faults.Merge("", named.In(file))
	}

	return c, faults
}

// decodeAndCheck decodes and checks a configuration. A field that cannot be decoded is not checked, since its value is not known.
func decodeAndCheck(data json.RawMessage) (Configuration, fault.List) {
	c, faults := decode(data)
	var undecoded set.Set[string]
	for _, f := range faults.Faults() {
		undecoded.Add(f.Path)
	}
	for _, f := range c.Check().Faults() {
		if !hasPathOrParent(undecoded, f.Path) {
			faults.Add(f.Path, "%s", f.Message)
		}
	}

	return c, faults
}

// hasPathOrParent reports whether paths contains path or the path of a value that encloses it.
func hasPathOrParent(paths set.Set[string], path string) bool {
	for path != "" {
		if paths.Has(path) {
			return true
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}

	return paths.Has("")
}

// checkRemovals records a fault for each null of the overlay that removes a field which the base does not have. Usually, the name
// of such a field is misspelt.
func checkRemovals(base, overlay json.RawMessage, faults *fault.List) {
	var walk func(base, overlay json.RawMessage, path string)
	walk = func(base, overlay json.RawMessage, path string) {
		var baseMembers, overlayMembers map[string]json.RawMessage
		if json.Unmarshal(overlay, &overlayMembers) != nil {
			return
		}
		if json.Unmarshal(base, &baseMembers) != nil {
			baseMembers = nil
		}
		for _, name := range slices.Sorted(maps.Keys(overlayMembers)) {
			if _, ok := baseMembers[name]; !ok && bytes.Equal(overlayMembers[name], []byte("null")) {
				faults.Add(join(path, name), "null removes a field that the base does not have")

				continue
			}
			walk(baseMembers[name], overlayMembers[name], join(path, name))
		}
	}
	walk(base, overlay, "")
}

// setsField reports whether the overlay sets the field at path or, for an element of a list, the list.
func setsField(overlay json.RawMessage, path string) bool {
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
