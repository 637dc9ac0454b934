package settings

import "github.com/buckthornroute/buckthornroute/structs"

// LoadPreset reads one preset, a TOML file with the keys of a [[preset]]. Errors are *Error.
func LoadPreset(path string) (*structs.Preset, error) {
	data, err := read(path)
	if err != nil {
		return nil, err
	}
	return ParsePreset(data, path)
}

// ParsePreset reads one preset from data; file names it in errors.
func ParsePreset(data []byte, file string) (*structs.Preset, error) {
	p := &structs.Preset{}
	if err := decode(data, file, p); err != nil {
		return nil, err
	}
	fillPreset(p)
	if key, reason := CheckPreset(p); reason != "" {
		return nil, &Error{File: file, Key: key, Reason: reason}
	}
	return p, nil
}
