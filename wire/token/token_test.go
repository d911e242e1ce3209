package token

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"baobabfield.example/core/types"
)

var testKey = Key("0123456789abcdef")

func samplePoints() Points {
	return Points{
		"ramp-logs-1": {Term: types.MakeTerm(1, 3), Position: 42},
		"ramp-logs-2": {Term: types.MakeTerm(1, 1), Position: 7},
	}
}

func TestTokenRoundTrips(t *testing.T) {
	is := is.New(t)
	got, err := testKey.Decode(testKey.Encode(samplePoints()))
	is.NoErr(err)
	is.Equal(got, samplePoints())
}

func TestInvalidTokenIsRefused(t *testing.T) {
	is := is.New(t)
	_, err := testKey.Decode(Key("another key").Encode(samplePoints()))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "does not match"))
	_, err = testKey.Decode("garbage!")
	is.True(strings.Contains(err.Error(), `"garbage!"`)) // the error contains the text
	_, err = testKey.Decode(strings.Repeat("A", MaxBytes+1))
	is.True(err != nil)
}

func FuzzDecode(f *testing.F) {
	f.Add(testKey.Encode(samplePoints()))
	f.Add("")
	f.Add("AQ")
	f.Fuzz(func(t *testing.T, text string) {
		points, err := testKey.Decode(text)
		if err != nil {
			return
		}
		if _, err := testKey.Decode(testKey.Encode(points)); err != nil {
			t.Fatalf("accepted token %q does not round trip: %v", text, err)
		}
	})
}
