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

// decode decodes a merged configuration and records every fault. encoding/json is not used for the structs themselves, because
// it stops at the first fault and matches field names in any letter case: a merged document could then hold a field twice,
// as "Deadline" from the base and "deadline" from the overlay.
func decode(raw json.RawMessage) (Configuration, fault.List) {
	var c Configuration
	var faults fault.List
	decodeValue(raw, "", reflect.ValueOf(&c).Elem(), &faults)

	return c, faults
}

func decodeValue(raw json.RawMessage, path string, into reflect.Value, faults *fault.List) {
	if bytes.Equal(bytes.TrimSpace(raw), []byte("null")) {
		faults.Add(path, "must not be null")

		return
	}
	kind := into.Kind()
	if _, ok := into.Addr().Interface().(json.Unmarshaler); ok || isText(into) {
		kind = reflect.Invalid
	}
	switch kind {
	case reflect.Struct:
		decodeStruct(raw, path, into, faults)
	case reflect.Map:
		decodeMap(raw, path, into, faults)
	case reflect.Slice:
		decodeSlice(raw, path, into, faults)
	default:
		if err := json.Unmarshal(raw, into.Addr().Interface()); err != nil {
			faults.Add(path, "%s", describe(raw, into, err))
		}
	}
}

func decodeStruct(raw json.RawMessage, path string, into reflect.Value, faults *fault.List) {
	members, ok := membersOf(raw, path, faults)
	if !ok {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		field, ok := into.Type().FieldByName(name)
		if !ok {
			faults.Add(join(path, name), "%s", unknownField(into.Type(), name))

			continue
		}
		decodeValue(members[name], join(path, name), into.FieldByIndex(field.Index), faults)
	}
}

func decodeMap(raw json.RawMessage, path string, into reflect.Value, faults *fault.List) {
	members, ok := membersOf(raw, path, faults)
	if !ok {
		return
	}
	if len(members) > MaxServices {
		faults.Add(path, "has %d entries, at most %d are accepted", len(members), MaxServices)

		return
	}
	into.Set(reflect.MakeMapWithSize(into.Type(), len(members)))
	for _, name := range slices.Sorted(maps.Keys(members)) {
		value := reflect.New(into.Type().Elem()).Elem()
		decodeValue(members[name], join(path, name), value, faults)
		into.SetMapIndex(reflect.ValueOf(name), value)
	}
}

func decodeSlice(raw json.RawMessage, path string, into reflect.Value, faults *fault.List) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		faults.Add(path, "must be a list")

		return
	}
	if len(items) > MaxReplicas {
		faults.Add(path, "has %d entries, at most %d are accepted", len(items), MaxReplicas)

		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(items), len(items)))
	for i, item := range items {
		decodeValue(item, fmt.Sprintf("%s[%d]", path, i), into.Index(i), faults)
	}
}

func membersOf(raw json.RawMessage, path string, faults *fault.List) (map[string]json.RawMessage, bool) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(raw, &members); err != nil {
		faults.Add(path, "must be a mapping")

		return nil, false
	}

	return members, true
}

func isText(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(interface{ UnmarshalText(text []byte) error })

	return ok
}

// describe says what is wrong in terms of the file rather than of Go.
func describe(raw json.RawMessage, into reflect.Value, err error) string {
	if into.Type() == reflect.TypeFor[netip.AddrPort]() && raw[0] == '"' {
		return fmt.Sprintf("%s is not an address such as 127.0.0.1:7000", raw)
	}
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) {
		return err.Error()
	}
	switch {
	case isText(into) || into.Kind() == reflect.String:
		return "must be text"
	case into.Kind() == reflect.Bool:
		return "must be true or false"
	case into.Kind() == reflect.Int:
		return "must be a whole number"
	default:
		return "must be a number"
	}
}

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

// checkDocument records faults that are lost when a document is decoded or merged: a key that is written twice, and null as an
// entry of a list, which a merge drops.
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

// checkTokens walks over one value of a valid document and reports whether it is null.
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
			entry := fmt.Sprintf("%s[%d]", path, i)
			if checkTokens(decoder, entry, faults) {
				faults.Add(entry, "must not be null")
			}
		}
		_, _ = decoder.Token()
	}

	return token == nil
}
