package settings

import (
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// checker keeps the first wrong key that it meets.
type checker struct {
	file string
	err  error
}

// fail records that key is wrong, unless another key was wrong before.
func (c *checker) fail(key, format string, args ...any) {
	if c.err == nil {
		c.err = &Error{File: c.file, Key: key, Reason: fmt.Sprintf(format, args...)}
	}
}

// required checks that text is given.
func (c *checker) required(key, text string) {
	if strings.TrimSpace(text) == "" {
		c.fail(key, "is required")
	}
}

// name checks that text is an identifier that may stand in row keys and log ids.
func (c *checker) name(key, text string) {
	c.required(key, text)
	if strings.ContainsAny(text, "/. \t\n") {
		c.fail(key, "%q holds a slash, a dot or a space", text)
	}
}

// address checks host:port with an IP number, as processes reach each other by IP numbers.
func (c *checker) address(key, text string) {
	c.required(key, text)
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		c.fail(key, "%q is not host:port", text)
		return
	}
	if net.ParseIP(host) == nil {
		c.fail(key, "host %q is not an IP number", host)
	}
	if _, err := net.LookupPort("tcp", port); err != nil || port == "" {
		c.fail(key, "port %q is not a port number", port)
	}
}

// optionalAddress checks text like address when it is given.
func (c *checker) optionalAddress(key, text string) {
	if text != "" {
		c.address(key, text)
	}
}

// httpURL checks an http or https URL with a host.
func (c *checker) httpURL(key, text string) {
	c.required(key, text)
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.fail(key, "%q is not an http or https URL", text)
	}
}

// positive checks that a count is above zero.
func (c *checker) positive(key string, n int64) {
	if n <= 0 {
		c.fail(key, "%d is not above 0", n)
	}
}

// minDuration bounds durations from below, which also rejects a bare number: TOML's 5 is read as 5ns.
const minDuration = structs.Duration(time.Millisecond)

// duration checks that a duration is at least minDuration.
func (c *checker) duration(key string, d structs.Duration) {
	if d < minDuration {
		c.fail(key, "%v is below %v; a duration is text with a unit, such as \"5s\"", time.Duration(d), time.Duration(minDuration))
	}
}

// atLeast checks that the duration d of key is not below floor, which than names.
func (c *checker) atLeast(key string, d structs.Duration, than string, floor structs.Duration) {
	if d < floor {
		c.fail(key, "%v is below %s, which is %v", time.Duration(d), than, time.Duration(floor))
	}
}

// oneOf checks that text is one of the allowed words.
func (c *checker) oneOf(key, text string, allowed ...string) {
	for _, a := range allowed {
		if text == a {
			return
		}
	}
	c.fail(key, "%q is not one of %s", text, strings.Join(allowed, ", "))
}

// unique checks that text has not been seen at another key.
func (c *checker) unique(key, text string, seen map[string]string) {
	if other, found := seen[text]; found {
		c.fail(key, "%q is used by %q already", text, other)
		return
	}
	seen[text] = key
}

// at returns the key of element i of a list.
func at(list string, i int, field string) string {
	return fmt.Sprintf("%s[%d].%s", list, i, field)
}
