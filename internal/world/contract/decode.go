package contract

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"reflect"
	"slices"
	"strings"

	"github.com/hickorynotch/hickorynotch/internal/value/fault"
)

// decode decodes a merged configuration and returns all faults. It does not use encoding/json for structs, because that stops at
// the first fault and matches field names case-insensitively: a merged document could then contain a field twice, as "Deadline"
// from the base and "deadline" from the overlay.
func decode(raw json.RawMessage) (Configuration, fault.List) {
	var c Configuration
	var faults fault.List
	decodeValue(raw, "", reflect.ValueOf(&c).Elem(), &faults)

	return c, faults
}

func decodeValue(raw json.RawMessage, path string, dst reflect.Value, faults *fault.List) {
	if bytes.Equal(bytes.TrimSpace(raw), []byte("null")) {
		faults.Add(path, "must not be null")

		return
	}
	kind := dst.Kind()
	// Types with an unmarshalling method of their own are decoded by encoding/json, whatever their kind.
	if _, ok := dst.Addr().Interface().(json.Unmarshaler); ok || unmarshalsText(dst) {
		kind = reflect.Invalid
	}
	switch kind {
	case reflect.Struct:
		decodeStruct(raw, path, dst, faults)
	case reflect.Map:
		decodeMap(raw, path, dst, faults)
	case reflect.Slice:
		decodeSlice(raw, path, dst, faults)
	default:
		if err := json.Unmarshal(raw, dst.Addr().Interface()); err != nil {
			faults.Add(path, "%s", describeError(raw, dst, err))
		}
	}
}

func decodeStruct(raw json.RawMessage, path string, dst reflect.Value, faults *fault.List) {
	members, ok := decodeMembers(raw, path, faults)
	if !ok {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		field, ok := dst.Type().FieldByName(name)
		if !ok {
			faults.Add(join(path, name), "%s", unknownField(dst.Type(), name))

			continue
		}
		decodeValue(members[name], join(path, name), dst.FieldByIndex(field.Index), faults)
	}
}

func decodeMap(raw json.RawMessage, path string, dst reflect.Value, faults *fault.List) {
	members, ok := decodeMembers(raw, path, faults)
	if !ok {
		return
	}
	if len(members) > MaxServices {
		faults.Add(path, "has %d entries, at most %d are accepted", len(members), MaxServices)

		return
	}
	dst.Set(reflect.MakeMapWithSize(dst.Type(), len(members)))
	for _, name := range slices.Sorted(maps.Keys(members)) {
		value := reflect.New(dst.Type().Elem()).Elem()
		decodeValue(members[name], join(path, name), value, faults)
		dst.SetMapIndex(reflect.ValueOf(name), value)
	}
}

func decodeSlice(raw json.RawMessage, path string, dst reflect.Value, faults *fault.List) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		faults.Add(path, "must be a list")

		return
	}
	if len(items) > MaxReplicas {
		faults.Add(path, "has %d entries, at most %d are accepted", len(items), MaxReplicas)

		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(items), len(items)))
	for i, item := range items {
		decodeValue(item, fmt.Sprintf("%s[%d]", path, i), dst.Index(i), faults)
	}
}

// decodeMembers returns the members of a JSON object. If raw is not an object, it records a fault and returns false.
func decodeMembers(raw json.RawMessage, path string, faults *fault.List) (map[string]json.RawMessage, bool) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(raw, &members); err != nil {
		faults.Add(path, "must be a mapping")

		return nil, false
	}

	return members, true
}

// unmarshalsText reports whether v implements encoding.TextUnmarshaler.
func unmarshalsText(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(interface{ UnmarshalText(text []byte) error })

	return ok
}

// describeError describes an error of encoding/json in terms of the file instead of Go types.
func describeError(raw json.RawMessage, dst reflect.Value, err error) string {
	if dst.Type() == reflect.TypeFor[netip.AddrPort]() && raw[0] == '"' {
		return fmt.Sprintf("%s is not an address such as 127.0.0.1:7000", raw)
	}
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) {
		return err.Error()
	}
	switch {
	case unmarshalsText(dst) || dst.Kind() == reflect.String:
		return "must be text"
	case dst.Kind() == reflect.Bool:
		return "must be true or false"
	case dst.Kind() == reflect.Int:
		return "must be a whole number"
	default:
		return "must be a number"
	}
}

// unknownField returns the message for a name that is not a field of t. It suggests a field whose name differs only in case.
func unknownField(t reflect.Type, name string) string {
	for i := range t.NumField() {
		if known := t.Field(i).Name; strings.EqualFold(known, name) {
			return fmt.Sprintf("unknown field; the name is written %s", known)
		}
	}

	return "unknown field"
}

func join(path, name string) string {
	if path == "" {
		return name
	}

	return path + "." + name
}

// checkDocument records faults that are no longer visible after a document has been decoded or merged: duplicate keys, of which
// only the last is kept, and null elements of lists, which a merge drops.
func checkDocument(raw json.RawMessage, faults *fault.List) {
	if !json.Valid(raw) {
		faults.Add("", "is not valid JSON")

		return
	}
	if trimmed := bytes.TrimSpace(raw); trimmed[0] != '{' {
		faults.Add("", "must be a mapping")

		return
	}
	checkTokens(json.NewDecoder(bytes.NewReader(raw)), "", faults)
}

// checkTokens reads one value of a valid document, records its duplicate keys and null elements, and reports whether the value
// itself is null.
func checkTokens(decoder *json.Decoder, path string, faults *fault.List) (null bool) {
	token, _ := decoder.Token()
	switch token {
	case json.Delim('{'):
		seen := map[string]bool{}
		for decoder.More() {
			key, _ := decoder.Token()
			name, _ := key.(string)
			if seen[name] {
				faults.Add(join(path, name), "is written twice")
			}
			seen[name] = true
			checkTokens(decoder, join(path, name), faults)
		}
		_, _ = decoder.Token()
	case json.Delim('['):
		for i := 0; decoder.More(); i++ {
			element := fmt.Sprintf("%s[%d]", path, i)
			if checkTokens(decoder, element, faults) {
				faults.Add(element, "must not be null")
			}
		}
		_, _ = decoder.Token()
	}

	return token == nil
}
