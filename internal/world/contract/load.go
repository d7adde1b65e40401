package contract

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"sigs.k8s.io/yaml"

	"github.com/hickorynotch/hickorynotch/internal/value/fault"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// Files is a base file with its overlays.
type Files struct {
	Base File
	// Overlays maps each zone that has an overlay to its file.
	Overlays map[zone.Zone]File
	// Merged maps each zone that the base lists to its merged configuration.
	Merged map[zone.Zone]Configuration
}

// Load reads a base file and overlays in YAML or JSON, and merges and checks them for every zone that the base lists. The error
// lists the faults of all files, each with the path of its file as passed to Load.
//
// An overlay is specified as a path or as zone=path. Without zone=, the zone is the file name without its extension, which is
// matched case-insensitively to the zones of the base.
func Load(base string, overlays ...string) (files Files, err error) {
	defer func() { err = Error.Wrap(err) }()

	var faults fault.List
	data, baseFaults := readFile(base)
	faults.Merge("", baseFaults)
	files = Files{Base: File{Name: base, Data: data}, Overlays: make(map[zone.Zone]File, len(overlays))}
	zones := listedZones(data)
	for _, argument := range overlays {
		z, path := parseOverlayArgument(argument, zones)
		data, overlayFaults := readFile(path)
		if earlier, ok := files.Overlays[z]; ok {
			overlayFaults.Add("", "is a second overlay for %q besides %s", string(z), earlier.Name)
		}
		faults.Merge("", overlayFaults.In(path))
		files.Overlays[z] = File{Name: path, Data: data}
	}
	// Without the base, merging would report only faults that result from its absence.
	if err := faults.Err(); err != nil && data == nil {
		return Files{}, err
	}
	// Overlays that could not be read are left out of the merge, so that the faults of the other files are still found.
	unreadable := false
	for z, overlay := range files.Overlays {
		if overlay.Data == nil {
			unreadable = true
			delete(files.Overlays, z)
		}
	}
	merged, mergeFaults := files.mergeAll()
	faults.Merge("", mergeFaults)
	if err := faults.Err(); err != nil || unreadable {
		return Files{}, err
	}
	files.Merged = merged

	return files, nil
}

// Documents returns the base and the overlays as JSON, the form in which they are stored in the platform's store.
func (f Files) Documents() (base json.RawMessage, overlays map[zone.Zone]json.RawMessage) {
	overlays = make(map[zone.Zone]json.RawMessage, len(f.Overlays))
	for z, file := range f.Overlays {
		overlays[z] = file.Data
	}

	return f.Base.Data, overlays
}

// ParseFile converts the YAML or JSON text of a base file or overlay to JSON. A duplicate key is an error.
func ParseFile(text []byte) (json.RawMessage, error) {
	data, err := yaml.YAMLToJSONStrict(text)
	if err != nil {
		return nil, fmt.Errorf("is not valid YAML or JSON: %s", strings.Join(strings.Fields(err.Error()), " "))
	}

	return data, nil
}

// parseOverlayArgument returns the zone and the path that an argument of Load specifies.
func parseOverlayArgument(argument string, zones []zone.Zone) (z zone.Zone, path string) {
	if name, path, ok := strings.Cut(argument, "="); ok && zone.Zone(name).Check() == nil {
		return zone.Zone(name), path
	}
	name := strings.TrimSuffix(filepath.Base(argument), filepath.Ext(argument))
	for _, listed := range zones {
		if strings.EqualFold(name, string(listed)) {
			return listed, argument
		}
	}

	return zone.Zone(name), argument
}

// readFile reads a file and converts it to JSON. The faults name the file.
func readFile(path string) (json.RawMessage, fault.List) {
	var faults fault.List
	file, err := os.Open(path)
	if err != nil {
		faults.Add("", "cannot be read: %s", errorWithoutPath(err))

		return nil, faults.In(path)
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, MaxBytes+1))
	if err != nil {
		faults.Add("", "cannot be read: %s", errorWithoutPath(err))

		return nil, faults.In(path)
	}
	if len(text) > MaxBytes {
		faults.Add("", "is larger than %d bytes", MaxBytes)

		return nil, faults.In(path)
	}
	data, err := ParseFile(text)
	if err != nil {
		faults.Add("", "%s", err)

		return nil, faults.In(path)
	}

	return data, faults
}

// errorWithoutPath returns the text of err without the path of the file, because the fault already names the file.
func errorWithoutPath(err error) string {
	var inner *os.PathError
	if errors.As(err, &inner) {
		return inner.Err.Error()
	}

	return err.Error()
}
