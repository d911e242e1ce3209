package attributes

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/types"
)

func TestSet(t *testing.T) {
	is := is.New(t)
	var a Attributes
	is.NoErr(a.Set("BAOBAB.RANK", "urgent"))
	is.NoErr(a.Set(MaxAge, "1500"))
	is.NoErr(a.Set(Repeatable, "on"))
	is.Equal(a.Rank, types.Rank("urgent"))
	is.Equal(a.MaxStaleness, 1500*time.Millisecond)
	is.True(a.HasMaxStaleness && a.Repeatable)
	is.NoErr(a.Set(MaxAge, ""))
	is.True(!a.HasMaxStaleness)
}

func TestSetRejectsInvalidValues(t *testing.T) {
	tests := []struct{ name, value string }{
		{MaxAge, "soon"},
		{MaxAge, "-3s"},
		{Repeatable, "maybe"},
		{Feature, strings.Repeat("x", maxValueBytes+1)},
		{"baobab.colour", "red"},
	}
	for _, tt := range tests {
		is := is.New(t)
		a := Attributes{MaxStaleness: time.Second, HasMaxStaleness: true}
		before := a
		err := a.Set(tt.name, tt.value)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), tt.name))
		is.Equal(a, before) // unchanged
	}
}

func TestParseSettingStatement(t *testing.T) {
	tests := []struct {
		sql, verb, name, value string
		ok                     bool
	}{
		{"SET baobab.rank = 'urgent'", "SET", "baobab.rank", "urgent", true},
		{"set session baobab.job to nightly;", "SET", "baobab.job", "nightly", true},
		{"SET baobab.feature='it''s'", "SET", "baobab.feature", "it's", true},
		{"SHOW baobab.session", "SHOW", "baobab.session", "", true},
		{"RESET baobab.max_age", "RESET", "baobab.max_age", "", true},
		{"SET TRANSACTION READ ONLY", "", "", "", false},
		{"SELECT 1", "", "", "", false},
	}
	for _, tt := range tests {
		is := is.New(t)
		verb, name, value, ok := ParseSettingStatement(tt.sql)
		is.Equal(ok, tt.ok)
		if ok {
			is.Equal([]string{verb, name, value}, []string{tt.verb, tt.name, tt.value})
		}
	}
}
