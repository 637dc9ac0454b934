package settings

import "github.com/buckthornroute/buckthornroute/structs"

// LoadPreset reads one preset from a TOML file that has the keys of a [[preset]] table. Errors
// are *Error.
func LoadPreset(path string) (*structs.Preset, error) {
	data, err := read(path)
	if err != nil {
		return nil, err
	}
	return ParsePreset(data, path)
}

// ParsePreset reads one preset from data. Errors are *Error with file as their File.
func ParsePreset(data []byte, file string) (*structs.Preset, error) {
	p := &structs.Preset{}
	if err := decode(data, file, p); err != nil {
		return nil, err
	}
	setPresetDefaults(p)
	if key, reason := CheckPreset(p); reason != "" {
		return nil, &Error{File: file, Key: key, Reason: reason}
	}
	return p, nil
}
