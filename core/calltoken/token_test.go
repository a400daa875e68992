package calltoken

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func sampleToken() Token {
	return Token{Caller: "bench", Group: "sorters", Depth: 3, Deadline: noon, TimeLeft: time.Second}
}

func TestVerifyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Token{
			Caller:   model.CallerName(rapid.StringN(0, 50, 100).Draw(t, "caller")),
			Group:    model.GroupName(rapid.StringN(0, 50, 100).Draw(t, "group")),
			Depth:    rapid.IntRange(0, 255).Draw(t, "depth"),
			Deadline: time.UnixMicro(rapid.Int64Range(0, 1<<52).Draw(t, "deadline")),
			TimeLeft: time.Duration(rapid.Int64Range(0, 1<<40).Draw(t, "left")) * time.Microsecond,
		}
		got, err := NewSigner("secret").Verify(NewSigner("secret").Sign(want))
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
}

func TestVerifyRejectsEveryAlteredCharacter(t *testing.T) {
	s := NewSigner("secret")
	text := s.Sign(sampleToken())
	for i := range text {
		altered := []byte(text)
		altered[i] ^= 1
		_, err := s.Verify(string(altered))
		require.Error(t, err, "character %d", i)
	}
}

func TestVerifyRejectsInvalidTokens(t *testing.T) {
	s := NewSigner("secret")
	tests := []struct {
		name, text, want string
	}{
		{"empty", "", "call token: not a token"},
		{"signed with another secret", NewSigner("other").Sign(sampleToken()), "call token: wrong signature"},
		{"trailing data", s.Sign(sampleToken()) + "AAAA", "call token: wrong signature"},
		{"over the length limit", string(make([]byte, 4096)), "call token: too long"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := s.Verify(tt.text)
			require.EqualError(t, err, tt.want)
		})
	}
	var nilSigner *Signer
	require.Empty(t, nilSigner.Sign(sampleToken()))
	_, err := nilSigner.Verify(s.Sign(sampleToken()))
	require.Error(t, err)
	require.Nil(t, NewSigner(""), "no secret")
}

func TestRemainingNeverExceedsTimeLeft(t *testing.T) {
	token := sampleToken()
	require.Equal(t, 300*time.Millisecond, token.Remaining(noon.Add(-300*time.Millisecond)))
	require.Equal(t, time.Second, token.Remaining(noon.Add(-time.Hour)), "a clock that is behind")
	require.Negative(t, token.Remaining(noon.Add(time.Millisecond)))
}

func BenchmarkSignVerify(b *testing.B) {
	s := NewSigner("secret")
	token := sampleToken()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Verify(s.Sign(token)); err != nil {
			b.Fatal(err)
		}
	}
}
