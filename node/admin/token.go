package admin

import (
	"bufio"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// minSecretLength is the least number of characters of a token's secret.
const minSecretLength = 16

// Token lets its author use the admin API.
type Token struct {
	Author string
	digest [sha256.Size]byte
}

// NewToken returns the token of author with the given secret.
func NewToken(author, secret string) (Token, error) {
	if author == "" {
		return Token{}, errors.New("a token needs an author")
	}
	if len(secret) < minSecretLength {
		return Token{}, errors.Errorf("the token of author %q has %d characters, want at least %d",
			author, len(secret), minSecretLength)
	}
	return Token{Author: author, digest: sha256.Sum256([]byte(secret))}, nil
}

// ReadTokens reads tokens from lines of the form "author secret". Empty lines
// and lines that start with "#" are ignored.
func ReadTokens(r io.Reader) ([]Token, error) {
	var tokens []Token
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 2 {
			return nil, errors.Errorf("line %d of the tokens has %d fields, want an author and a secret", number, len(fields))
		}
		token, err := NewToken(fields[0], fields[1])
		if err != nil {
			return nil, errors.Wrapf(err, "line %d of the tokens", number)
		}
		tokens = append(tokens, token)
	}
	return tokens, errors.Wrap(lines.Err(), "read tokens")
}

// authorOf returns the author of the token with the given secret. Its running
// time does not depend on the secret.
func authorOf(tokens []Token, secret string) (string, bool) {
	digest := sha256.Sum256([]byte(secret))
	match := -1
	for i := range tokens {
		equal := subtle.ConstantTimeCompare(tokens[i].digest[:], digest[:])
		match = subtle.ConstantTimeSelect(equal, i, match)
	}
	if match < 0 {
		return "", false
	}
	return tokens[match].Author, true
}
