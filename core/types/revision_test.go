package types_test

import (
	"testing"

	"github.com/matryer/is"

	"baobabfield.example/core/types"
)

func TestRevisionOfLaterEraIsGreater(t *testing.T) {
	is := is.New(t)
	old, err := types.NewRevision(1, 35)
	is.NoErr(err)
	restored, err := types.NewRevision(2, 33)
	is.NoErr(err)
	is.True(restored > old)
	is.Equal(restored.Era(), uint64(2))
	is.Equal(restored.Number(), uint64(33))
	is.True(types.EraStart(2) > old)
	is.True(types.EraStart(2) < restored)
}

func TestRevisionOutOfRange(t *testing.T) {
	is := is.New(t)
	_, err := types.NewRevision(1, 1<<40)
	is.True(err != nil)
	_, err = types.NewRevision(1<<24, 1)
	is.True(err != nil)
}
