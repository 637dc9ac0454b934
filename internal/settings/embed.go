package settings

// NewEntry returns the default settings of an entry. An embedder sets the required
// fields and then calls Complete.
func NewEntry() *Entry { return defaultEntry() }

// NewSide returns the default settings of a side. An embedder sets the required
// fields and then calls Complete.
func NewSide() *Side { return defaultSide() }

// Complete sets the defaults that depend on other keys and checks the settings.
// Errors are *Error with name as their File.
func (s *Entry) Complete(name string) error {
	s.setDefaults()
	c := &checker{file: name}
	s.check(c)
	if c.err != nil {
		return c.err
	}
	return nil
}

// Complete checks the settings. Errors are *Error with name as their File.
func (s *Side) Complete(name string) error {
	c := &checker{file: name}
	s.check(c)
	if c.err != nil {
		return c.err
	}
	return nil
}
