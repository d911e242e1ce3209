package routing

import (
	"testing"

	"github.com/matryer/is"
)

func TestMayEndTransaction(t *testing.T) {
	tests := []struct {
		sql  string
		want bool
	}{
		{"INSERT INTO rounds VALUES (1, 'commit')", false},
		{"UPDATE rounds SET note = 'x' WHERE id = 1", false},
		{"COMMIT", true},
		{" /* done */ commit", true},
		{"INSERT INTO rounds VALUES (1); END", true},
		{"SELECT CASE WHEN true THEN 1 END", false},
		{"CALL close_shift()", true},
		{"ROLLBACK", false},
		{"", false},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(MayEndTransaction(tt.sql), tt.want) // tt.sql
	}
}
