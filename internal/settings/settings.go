// Package settings reads and checks the TOML settings of the programs.
// Reading is strict: an unknown key, a wrong type or a value out of range is an
// Error that names the file, the key and the reason. The default of each key
// stands in the doc comment of its field.
package settings

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// ExitCode is the exit status of a program whose settings or flags are wrong.
const ExitCode = 2

// Error reports one wrong key of a settings file.
type Error struct {
	// File is the path as given.
	File string
	// Line counts from 1; 0 when the key has no line, such as a missing one.
	Line int
	// Key is the dotted key; empty when the file itself can't be read or parsed.
	Key string
	// Reason names the value and what is wrong with it.
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	place := strconv.Quote(e.File)
	if e.Line > 0 {
		place += " line " + strconv.Itoa(e.Line)
	}
	if e.Key == "" {
		return fmt.Sprintf("settings file %s: %s", place, e.Reason)
	}
	return fmt.Sprintf("settings file %s: key %q: %s", place, e.Key, e.Reason)
}

// LoadEntry reads the settings of buckthorn-entry. Errors are *Error.
func LoadEntry(path string) (*Entry, error) {
	data, err := read(path)
	if err != nil {
		return nil, err
	}
	return ParseEntry(data, path)
}

// LoadSide reads the settings of buckthorn-side. Errors are *Error.
func LoadSide(path string) (*Side, error) {
	data, err := read(path)
	if err != nil {
		return nil, err
	}
	return ParseSide(data, path)
}

// ParseEntry reads the settings of buckthorn-entry from data; file names them in errors.
func ParseEntry(data []byte, file string) (*Entry, error) {
	s := defaultEntry()
	if err := decode(data, file, s); err != nil {
		return nil, err
	}
	s.fillDefaults()
	c := &checker{file: file}
	s.check(c)
	if c.err != nil {
		return nil, c.err
	}
	return s, nil
}

// ParseSide reads the settings of buckthorn-side from data; file names them in errors.
func ParseSide(data []byte, file string) (*Side, error) {
	s := defaultSide()
	if err := decode(data, file, s); err != nil {
		return nil, err
	}
	c := &checker{file: file}
	s.check(c)
	if c.err != nil {
		return nil, c.err
	}
	return s, nil
}

// Kind tells which program a settings file is for.
type Kind string

// Kinds of settings files.
const (
	KindEntry Kind = "entry"
	KindSide  Kind = "side"
	// KindGateway is an entry on which callers drive their own programs.
	KindGateway Kind = "gateway"
)

// Check reads the file as the settings of whichever program it is for and returns
// that kind. Errors are *Error.
func Check(path string) (Kind, error) {
	data, err := read(path)
	if err != nil {
		return "", err
	}
	kind := kindOf(data)
	switch kind {
	case KindSide:
		_, err = ParseSide(data, path)
	case KindGateway:
		_, err = ParseGateway(data, path)
	default:
		_, err = ParseEntry(data, path)
	}
	return kind, err
}

// KindOf reads which program the file is for, without checking it. Errors are *Error.
func KindOf(path string) (Kind, error) {
	data, err := read(path)
	if err != nil {
		return "", err
	}
	return kindOf(data), nil
}

// kindOf tells the kind by a key that only one has: a side's table [upstream], a
// gateway's table_address.
func kindOf(data []byte) Kind {
	var probe struct {
		Upstream     map[string]any `toml:"upstream"`
		TableAddress any            `toml:"table_address"`
	}
	// A file that does not parse is reported by the strict reading that follows.
	_ = toml.Unmarshal(data, &probe)
	switch {
	case probe.Upstream != nil:
		return KindSide
	case probe.TableAddress != nil:
		return KindGateway
	default:
		return KindEntry
	}
}

func read(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		reason := err
		var pathErr *os.PathError
		if errors.As(err, &pathErr) {
			reason = pathErr.Err
		}
		return nil, &Error{File: path, Reason: reason.Error()}
	}
	return data, nil
}

// decode fills target, which holds the defaults, and turns the decoder's errors into *Error.
func decode(data []byte, file string, target any) error {
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return &Error{File: file, Line: line, Key: strings.Join(first.Key(), "."), Reason: "unknown key"}
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		line, _ := malformed.Position()
		reason := strings.TrimPrefix(malformed.Error(), "toml: ")
		return &Error{File: file, Line: line, Key: strings.Join(malformed.Key(), "."), Reason: reason}
	}
	return &Error{File: file, Reason: err.Error()}
}
