package gossip

import (
	"fmt"
	"testing"
	"time"

	"balsamhill/pkg/serverlimit"
)

// BenchmarkLimits measures what a coordinator spends on one round of renewals, which
// happens every serverlimit.RenewInterval, and what a receiver spends on its messages.
func BenchmarkLimits(b *testing.B) {
	for _, limited := range []int{10, 100, 1000} {
		view := benchView(35)
		book := benchBook(limited)
		b.Run(fmt.Sprintf("renew/limited=%d", limited), func(b *testing.B) {
			now, bytes := 200*int64(time.Second), 0
			for range b.N {
				now += int64(serverlimit.RenewInterval)
				notices := book.Tick(now, view)
				message := Message{Key: 1, Limits: notices}
				bytes = len(message.Marshal(nil))
			}
			b.ReportMetric(float64(bytes)/float64(limited), "bytes/limit")
		})
		b.Run(fmt.Sprintf("receive/limited=%d", limited), func(b *testing.B) {
			message := Message{Key: 1, Limits: book.Tick(1000*int64(time.Second), view)}
			data, receiver := message.Marshal(nil), serverlimit.NewBook(9)
			now := 200 * int64(time.Second)
			b.ResetTimer()
			for range b.N {
				now += int64(serverlimit.RenewInterval)
				got, err := Unmarshal(data)
				if err != nil {
					b.Fatal(err)
				}
				for _, notice := range got.Limits {
					receiver.Apply(now, 1, notice)
				}
			}
		})
	}
}

// benchView is a group of gateways of which the first, key 1, coordinates all limits.
func benchView(gateways int) serverlimit.View {
	view := serverlimit.View{Live: gateways, Known: gateways, Server: func(uint32) (serverlimit.Server, bool) {
		return serverlimit.Server{Service: 1, FailureDomain: "d", Coverage: serverlimit.OwnGroup}, true
	}}
	for key := range gateways {
		view.Members = append(view.Members, serverlimit.Member{
			Key: uint64(key + 1), FailureDomain: "d", MayCoordinate: key == 0, Demand: map[uint32]float64{1: float64(1 + key%5)},
		})
	}
	return view
}

func benchBook(limited int) *serverlimit.Book {
	book := serverlimit.NewBook(1)
	for server := range limited {
		book.Name(100*int64(time.Second), uint32(server), 4)
	}
	return book
}
