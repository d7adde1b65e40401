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

// Files is a base file with the overlays of the sites that differ.
type Files struct {
	Base     File
	Overlays map[zone.Zone]File
	// Merged is the configuration of every zone of the base.
	Merged map[zone.Zone]Configuration
}

// Load reads a base file and overlays, each YAML or JSON, and merges and checks them for every zone. The error lists the
// faults of all files, each with the path of its file as given.
//
// An overlay is given as a path, whose file name without extension is the zone in any letter case, or as zone=path.
func Load(base string, overlays ...string) (files Files, err error) {
	defer func() { err = Error.Wrap(err) }()

	var faults fault.List
	data, found := readFile(base)
	faults.Merge("", found)
	files = Files{Base: File{Name: base, Data: data}, Overlays: make(map[zone.Zone]File, len(overlays))}
	sites := sitesOf(data)
	for _, argument := range overlays {
		z, path := zoneOf(argument, sites)
		data, found := readFile(path)
		if earlier, ok := files.Overlays[z]; ok {
			found.Add("", "is an overlay for %q, as is %s", string(z), earlier.Name)
		}
		faults.Merge("", found.In(path))
		files.Overlays[z] = File{Name: path, Data: data}
	}
	// Merged faults of files that were not read would only repeat what is known.
	if err := faults.Err(); err != nil && data == nil {
		return Files{}, err
	}
	unread := false
	for z, overlay := range files.Overlays {
		if overlay.Data == nil {
			unread = true
			delete(files.Overlays, z)
		}
	}
	merged, found := files.mergeAll()
	faults.Merge("", found)
	if err := faults.Err(); err != nil || unread {
		return Files{}, err
	}
	files.Merged = merged

	return files, nil
}

// Parts returns the base and the overlays as the record of the platform's store holds them.
func (f Files) Parts() (base json.RawMessage, overlays map[zone.Zone]json.RawMessage) {
	overlays = make(map[zone.Zone]json.RawMessage, len(f.Overlays))
	for z, file := range f.Overlays {
		overlays[z] = file.Data
	}

	return f.Base.Data, overlays
}

// ParseFile returns the YAML or JSON text of a base file or overlay as JSON. A key that is written twice is an error.
func ParseFile(text []byte) (json.RawMessage, error) {
	data, err := yaml.YAMLToJSONStrict(text)
	if err != nil {
		return nil, fmt.Errorf("is not YAML or JSON: %s", strings.Join(strings.Fields(err.Error()), " "))
	}

	return data, nil
}

func zoneOf(argument string, sites []zone.Zone) (z zone.Zone, path string) {
	if name, path, ok := strings.Cut(argument, "="); ok && zone.Zone(name).Check() == nil {
		return zone.Zone(name), path
	}
	name := strings.TrimSuffix(filepath.Base(argument), filepath.Ext(argument))
	for _, site := range sites {
		if strings.EqualFold(name, string(site)) {
			return site, argument
		}
	}

	return zone.Zone(name), argument
}

func readFile(path string) (json.RawMessage, fault.List) {
	var faults fault.List
	file, err := os.Open(path)
	if err != nil {
		faults.Add("", "cannot be read: %s", reason(err))

		return nil, faults.In(path)
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, MaxBytes+1))
	if err != nil {
		faults.Add("", "cannot be read: %s", reason(err))

		return nil, faults.In(path)
	}
	if len(text) > MaxBytes {
		faults.Add("", "has over %d bytes", MaxBytes)

		return nil, faults.In(path)
	}
	data, err := ParseFile(text)
	if err != nil {
		faults.Add("", "%s", err)

		return nil, faults.In(path)
	}

	return data, faults
}

// reason leaves out the path, which the fault names already.
func reason(err error) string {
	var inner *os.PathError
	if errors.As(err, &inner) {
		return inner.Err.Error()
	}

	return err.Error()
}
