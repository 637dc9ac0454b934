package settings

import (
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// checker records the first invalid key of a settings file. Each of its checks takes the dotted
// key and its value.
type checker struct {
	file string
	err  error
}

// fail records key as invalid, unless an earlier error is recorded.
func (c *checker) fail(key, format string, args ...any) {
	if c.err == nil {
		c.err = &Error{File: c.file, Key: key, Reason: fmt.Sprintf(format, args...)}
	}
}

// required checks that text is not blank.
func (c *checker) required(key, text string) {
	if strings.TrimSpace(text) == "" {
		c.fail(key, "is required")
	}
}

// name checks that text is not blank and contains neither spaces nor the separators
// of row keys and log ids (slash and dot), of which it becomes a part.
func (c *checker) name(key, text string) {
	c.required(key, text)
	if strings.ContainsAny(text, "/. \t\n") {
		c.fail(key, "%q contains a slash, a dot or a space", text)
	}
}

// address checks host:port with an IP address: processes reach each other by IP address,
// without name resolution. The port may also be the name of a service, such as "http".
func (c *checker) address(key, text string) {
	c.required(key, text)
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		c.fail(key, "%q is not host:port", text)
		return
	}
	if net.ParseIP(host) == nil {
		c.fail(key, "host %q is not an IP address", host)
	}
	if _, err := net.LookupPort("tcp", port); err != nil || port == "" {
		c.fail(key, "port %q is not a port number", port)
	}
}

// optionalAddress checks text as address does, unless it is empty.
func (c *checker) optionalAddress(key, text string) {
	if text != "" {
		c.address(key, text)
	}
}

// httpURL checks that text is an http or https URL with a host.
func (c *checker) httpURL(key, text string) {
	c.required(key, text)
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.fail(key, "%q is not an http or https URL", text)
	}
}

// positive checks that a number is above zero.
func (c *checker) positive(key string, n int64) {
	if n <= 0 {
		c.fail(key, "%d is not above 0", n)
	}
}

// minDuration is the shortest duration accepted. It also rejects a number without a unit: 5 in
// TOML is read as 5ns.
const minDuration = structs.Duration(time.Millisecond)

// duration checks that a duration is at least minDuration.
func (c *checker) duration(key string, d structs.Duration) {
	if d < minDuration {
		c.fail(key, "%v is below %v; a duration is text with a unit, such as \"5s\"", time.Duration(d), time.Duration(minDuration))
	}
}

// atLeast checks that the duration d of key is at least floor; floorName describes floor in
// the error.
func (c *checker) atLeast(key string, d structs.Duration, floorName string, floor structs.Duration) {
	if d < floor {
		c.fail(key, "%v is below %s, which is %v", time.Duration(d), floorName, time.Duration(floor))
	}
}

// oneOf checks that text is one of the allowed values.
func (c *checker) oneOf(key, text string, allowed ...string) {
	for _, a := range allowed {
		if text == a {
			return
		}
	}
	c.fail(key, "%q is not one of %s", text, strings.Join(allowed, ", "))
}

// unique checks that no other key has the value text; seen maps each value to its key.
func (c *checker) unique(key, text string, seen map[string]string) {
	if other, found := seen[text]; found {
		c.fail(key, "%q is already used by %q", text, other)
		return
	}
	seen[text] = key
}

// elementKey returns the key of a field of element i of a list, such as "sides[0].vm".
func elementKey(list string, i int, field string) string {
	return fmt.Sprintf("%s[%d].%s", list, i, field)
}
