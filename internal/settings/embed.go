package settings

// NewEntry returns the defaults of an entry, for embedders that fill in the rest
// and then call Complete.
func NewEntry() *Entry { return defaultEntry() }

// NewSide returns the defaults of a side, for embedders that fill in the rest and
// then call Complete.
func NewSide() *Side { return defaultSide() }

// Complete fills in the defaults that depend on other keys and checks the
// settings; name stands for the file in errors, which are *Error.
func (s *Entry) Complete(name string) error {
	s.fillDefaults()
	c := &checker{file: name}
	s.check(c)
	if c.err != nil {
		return c.err
	}
	return nil
}

// Complete fills in the defaults that depend on other keys and checks the
// settings; name stands for the file in errors, which are *Error.
func (s *Side) Complete(name string) error {
	c := &checker{file: name}
	s.check(c)
	if c.err != nil {
		return c.err
	}
	return nil
}
