// Package attributes holds the attributes that a caller sets for its requests: rank,
// feature, job, accepted staleness, whether a request may be repeated, and its key. Its
// input is the text of startup parameters and of SET, RESET and SHOW statements. Its
// output is the attributes that apply to the next request, or an error for the caller.
package attributes

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"baobabfield.example/core/types"
)

// Names of the attributes, used as startup parameters and in SET statements.
const (
	Rank    = "baobab.rank"
	Feature = "baobab.feature"
	Job     = "baobab.job"
	// MaxAge is the accepted staleness of reads: a duration such as "1500ms", or a
	// number of milliseconds. An empty value unsets it.
	MaxAge = "baobab.max_age"
	// Repeatable, Trace and ReadOnly are booleans as PostgreSQL writes them, for
	// instance "on" and "off".
	Repeatable = "baobab.repeatable"
	RequestKey = "baobab.request_key"
	// Session is the session token.
	Session  = "baobab.session"
	Trace    = "baobab.trace"
	ReadOnly = "default_transaction_read_only"

	// Prefix is the prefix of all attributes that are specific to baobabfield.
	Prefix = "baobab."
)

// maxValueBytes is the maximum length of a value in bytes. Session tokens have their
// own limit.
const maxValueBytes = 256

// Attributes are the current attributes of a session.
type Attributes struct {
	Rank    types.Rank
	Feature types.Feature
	Job     types.Job
	// MaxStaleness is the value of MaxAge. It applies only if HasMaxStaleness is set.
	MaxStaleness    time.Duration
	HasMaxStaleness bool
	// Repeatable allows the requests to be run twice.
	Repeatable bool
	// RequestKey applies to the next request only.
	RequestKey string
	Trace      bool
	ReadOnly   bool
	// Token is the text of the session token that the caller set last.
	Token string
}

// IsAttribute reports whether name is an attribute, ignoring case.
func IsAttribute(name string) bool {
	switch strings.ToLower(name) {
	case Rank, Feature, Job, MaxAge, Repeatable, RequestKey, Session, Trace, ReadOnly:
		return true
	}
	return false
}

// Set changes one attribute. Its error names the attribute, and the value or its limit.
// After an error the attributes are unchanged.
func (a *Attributes) Set(name, value string) error {
	name = strings.ToLower(name)
	if name != Session && len(value) > maxValueBytes {
		return fmt.Errorf("%s has a value of %d bytes, the limit is %d", name, len(value), maxValueBytes)
	}
	switch name {
	case Rank:
		a.Rank = types.Rank(value)
	case Feature:
		a.Feature = types.Feature(value)
	case Job:
		a.Job = types.Job(value)
	case RequestKey:
		a.RequestKey = value
	case Session:
		a.Token = value
	case MaxAge:
		return a.setMaxStaleness(value)
	case Repeatable:
		return setBool(&a.Repeatable, name, value)
	case Trace:
		return setBool(&a.Trace, name, value)
	case ReadOnly:
		return setBool(&a.ReadOnly, name, value)
	default:
		return fmt.Errorf("attribute %q does not exist", name)
	}
	return nil
}

// setMaxStaleness accepts a duration such as "1500ms" or "30s", or a number of
// milliseconds. An empty value unsets the attribute.
func (a *Attributes) setMaxStaleness(value string) error {
	if value == "" {
		a.MaxStaleness, a.HasMaxStaleness = 0, false
		return nil
	}
	d, err := time.ParseDuration(value)
	if ms, numErr := strconv.ParseUint(value, 10, 32); numErr == nil {
		d, err = time.Duration(ms)*time.Millisecond, nil
	}
	if err != nil || d < 0 {
		return fmt.Errorf("%s is %q, not a duration such as \"500ms\" or \"30s\"", MaxAge, value)
	}
	a.MaxStaleness, a.HasMaxStaleness = d, true
	return nil
}

// setBool parses a boolean as PostgreSQL accepts it.
func setBool(dst *bool, name, value string) error {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		*dst = true
	case "off", "false", "no", "0", "":
		*dst = false
	default:
		return fmt.Errorf("%s is %q, not \"on\" or \"off\"", name, value)
	}
	return nil
}

// Value returns the value of an attribute in the format of SHOW.
func (a *Attributes) Value(name string) string {
	switch name {
	case Rank:
		return string(a.Rank)
	case Feature:
		return string(a.Feature)
	case Job:
		return string(a.Job)
	case MaxAge:
		if a.HasMaxStaleness {
			return a.MaxStaleness.String()
		}
	case Repeatable:
		return formatBool(a.Repeatable)
	case RequestKey:
		return a.RequestKey
	case Session:
		return a.Token
	case Trace:
		return formatBool(a.Trace)
	case ReadOnly:
		return formatBool(a.ReadOnly)
	}
	return ""
}

// formatBool formats a boolean as PostgreSQL does.
func formatBool(b bool) string {
	if b {
		return "on"
	}
	return "off"
}
