package qhcrowd_test

import (
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsite"
)

const (
	// crowdSize is the number of connections of a crowd, and crowdFiles the number of files
	// that a node beside it may open.
	crowdSize  = 1000
	crowdFiles = 1600
	// http2CrowdSize is the number of connections of a crowd that has many streams on each.
	http2CrowdSize = 40
	// legalHead is less than what a head may have in all by the settings of the fleet.
	legalHead = 16 << 10
	// serviceTime is how long a target takes for a call of the crowd.
	serviceTime = 4 * time.Second
)

// memoryCase is a crowd at one node.
type memoryCase struct {
	script script
	size   int
	// service is the one beside whose target the crowd's node is.
	service qhid.Service
	// faults are those of the target that gets the calls of the crowd.
	faults qhsite.TargetFaults
	// listener returns the address that the crowd connects to; nil for that of callers.
	listener func(*qhsite.Node) qhid.Address
}

// at returns the address of the crowd at a node.
func (c memoryCase) at(node *qhsite.Node) qhid.Address {
	if c.listener == nil {
		return node.Settings.Listen.Callers
	}
	return c.listener(node)
}

// atOther is a crowd at a node that sends the calls to another one, and atTarget one at the
// node beside their target.
const (
	atOther  qhid.Service = "booking"
	atTarget qhid.Service = "arrangements"
)

// slow makes each call of the crowd take long.
var slow = qhsite.TargetFaults{ServiceTime: qhconfig.Duration(serviceTime)}

var _ = Describe("A node beside a crowd", func() {
	DescribeTable("stays within its memory and answers others", func(ctx SpecContext, c memoryCase) {
		f := newFleet(ctx, crowdFiles)
		node := f.target(c.service).Node
		Expect(f.target(atTarget).SetFaults(ctx, c.faults)).To(Succeed())
		f.expectOrdinaryCalls(ctx, node, 1)
		crowd := newCrowd(ctx, c.at(node), c.size, c.script)
		f.expectOrdinaryCalls(ctx, node, ordinaryCallCount)
		f.expectWithinLimits()
		crowd.close()
		f.expectOrdinaryCalls(ctx, node, ordinaryCallCount)
		f.expectWithinLimits()
	},
		Entry("that sends requests with many short header lines", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atOther, faults: slow, script: text(lookup + distinctLines(legalHead) + "\r\n")}),
		Entry("that sends requests with many short header lines to its own target", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atTarget, faults: slow, script: text(lookup + distinctLines(legalHead) + "\r\n")}),
		Entry("that sends requests with many header lines of one name", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atOther, faults: slow, script: text(lookup + strings.Repeat("a:\r\n", 3200) + "\r\n")}),
		Entry("that sends requests with many cookies", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atOther, faults: slow, script: text(lookup + strings.Repeat("Cookie:a\r\n", 1600) + "\r\n")}),
		Entry("that sends requests with header lines of odd bytes", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atOther, faults: slow, script: text(lookup + strings.Repeat("a~!#: \x80\xff\t\r\n", 1200) + "\r\n")}),
		Entry("that sends heads of many short lines without their end", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atOther, script: text(lookup + distinctLines(60_000))}),
		Entry("that sends heads of many short lines without end", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atOther, script: endless(lookup, "a:\r\n")}),
		Entry("that sends heads of one line without end", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atOther, script: endless(lookup+"a: ", "x")}),
		Entry("that sends empty lines without end", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atOther, script: endless("", "\r\n")}),
		Entry("that sends bare line feeds without end", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atOther, script: endless("", "\n")}),
		Entry("that sends uploads in one chunk, all but the last byte", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atOther, script: text(upload + "Transfer-Encoding: chunked\r\n\r\nea60\r\n" + strings.Repeat("x", 59_999))}),
		Entry("that sends large uploads in one chunk, all but the last byte", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atOther, script: text(upload + "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + strings.Repeat("x", 199_999))}),
		Entry("that sends uploads in chunks of one byte, without the last chunk", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atOther, script: text(upload + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk(1), 50_000))}),
		Entry("that sends uploads in chunks of one byte to its own target", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atTarget, script: text(upload + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk(1), 50_000))}),
		Entry("that sends uploads with chunk extensions without end", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atOther, script: endless(upload+"Transfer-Encoding: chunked\r\n\r\n1;", "x")}),
		Entry("that sends uploads with trailers without end", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atOther, script: endless(upload+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "a:\r\n")}),
		Entry("that sends uploads of a known length, all but the last byte", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atOther, script: text(upload + "Content-Length: 65536\r\n\r\n" + strings.Repeat("x", 65_535))}),
		Entry("that announces uploads of a known length and sends none", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atOther, script: text(upload + "Content-Length: 65536\r\n\r\n")}),
		Entry("that sends many requests behind a slow one", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atOther, faults: slow, script: text(lookup + "\r\n" + strings.Repeat(lookup+distinctLines(3600)+"\r\n", 16))}),
		Entry("that does not read its responses", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atOther, faults: qhsite.TargetFaults{PaddingBytes: 60_000}, script: text(strings.Repeat(lookup+"\r\n", 64))}),
		Entry("that names many paths without a route", SpecTimeout(specTimeout),
			memoryCase{size: 8, service: atOther, script: text(strings.Repeat("GET /"+strings.Repeat("x", 60_000)+" HTTP/1.1\r\nHost: x\r\n\r\n", 600))}),
		Entry("that sends requests with many fields on HTTP/2", SpecTimeout(specTimeout),
			memoryCase{size: http2CrowdSize, service: atOther, faults: slow, script: text(streams(100, func(stream uint32) string {
				return http2Head(stream, "GET", "/pickups/today", distinctFields(1000), endStream|endHeaders)
			}))}),
		Entry("that sends heads of many fields without their end on HTTP/2", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atOther, script: text(preface + http2Head(1, "GET", "/pickups/today", distinctFields(1700), endStream))}),
		Entry("that sends large frames without their end on HTTP/2", SpecTimeout(specTimeout),
			memoryCase{size: crowdSize, service: atOther, script: text(preface + largeFrame)}),
		Entry("that sends large frames without their end at the listener of forwarded calls", SpecTimeout(specTimeout), memoryCase{
			size: crowdSize, service: atOther, script: text(preface + largeFrame),
			listener: func(n *qhsite.Node) qhid.Address { return n.Settings.Listen.ForwardedCalls },
		}),
		Entry("that sends uploads without their end on HTTP/2", SpecTimeout(specTimeout),
			memoryCase{size: http2CrowdSize, service: atOther, script: text(streams(100, func(stream uint32) string { return http2Upload(stream, 60_000) }))}),
		Entry("at the listener of operators", SpecTimeout(specTimeout), controlCase(func(n *qhsite.Node) qhid.Address { return n.Settings.Listen.Operators })),
		Entry("at the listener of targets", SpecTimeout(specTimeout), controlCase(func(n *qhsite.Node) qhid.Address { return n.Settings.Listen.Targets })),
		Entry("at the listener of peers", SpecTimeout(specTimeout), controlCase(func(n *qhsite.Node) qhid.Address { return n.Settings.Listen.Peers })),
		Entry("at the listener of forwarded calls", SpecTimeout(specTimeout), memoryCase{
			size: crowdSize, service: atOther, script: text(preface + http2Head(1, "GET", "/", distinctFields(8000), endStream)),
			listener: func(n *qhsite.Node) qhid.Address { return n.Settings.Listen.ForwardedCalls },
		}),
	)
})

var _ = Describe("A node beside a crowd that comes back", func() {
	const returns = 20
	DescribeTable("stays within its memory and answers others", func(ctx SpecContext, script script) {
		f := newFleet(ctx, crowdFiles)
		node := f.target(atOther).Node
		f.expectOrdinaryCalls(ctx, node, 1)
		end := startReturningCrowd(ctx, node.Settings.Listen.Callers, crowdSize/2, returns, script)
		defer end()
		f.expectOrdinaryCalls(ctx, node, ordinaryCallCount)
		f.expectWithinLimits()
		end()
		f.expectOrdinaryCalls(ctx, node, ordinaryCallCount)
		f.expectWithinLimits()
	},
		Entry("with heads without their end", SpecTimeout(specTimeout), text(lookup+distinctLines(60_000))),
		Entry("with requests with many short header lines", SpecTimeout(specTimeout), text(lookup+distinctLines(legalHead)+"\r\n")),
		Entry("with uploads without their last byte", SpecTimeout(specTimeout), text(upload+"Content-Length: 65536\r\n\r\n"+strings.Repeat("x", 65_535))),
		Entry("with uploads in chunks of one byte", SpecTimeout(specTimeout), text(upload+"Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat(chunk(1), 50_000))),
		Entry("with heads that are too large", SpecTimeout(specTimeout), endless(lookup, "a:\r\n")),
		Entry("with uploads on HTTP/2", SpecTimeout(specTimeout), text(streams(10, func(stream uint32) string { return http2Upload(stream, 60_000) }))),
	)
})

// controlCase is a crowd that sends heads without their end to a listener for other requests
// than calls.
func controlCase(listener func(*qhsite.Node) qhid.Address) memoryCase {
	return memoryCase{size: crowdSize, service: atOther, listener: listener, script: text("GET /status HTTP/1.1\r\nHost: x\r\n" + distinctLines(legalHead))}
}

var _ = Describe("A node beside a crowd of several kinds", func() {
	var (
		f    *fleet
		node *qhsite.Node
	)
	BeforeEach(func(ctx SpecContext) {
		f = newFleet(ctx, crowdFiles)
		node = f.target(atOther).Node
		for _, s := range []script{
			text(lookup + distinctLines(60_000)),
			text(upload + "Content-Length: 65536\r\n\r\n" + strings.Repeat("x", 65_535)),
			text(upload + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk(1), 50_000)),
			text(""),
		} {
			newCrowd(ctx, node.Settings.Listen.Callers, crowdSize/4, s)
		}
	})

	It("puts a new version in force", func(ctx SpecContext) {
		f.applyIntents(ctx, 3, "3-shift.jsonc")
		f.expectWithinLimits()
	}, SpecTimeout(specTimeout))

	It("ends when it is stopped", func(ctx SpecContext) {
		f.expectOrdinaryCalls(ctx, node, 1)
		Expect(node.Terminate()).To(Succeed())
		Eventually(node.Done(), time.Duration(node.Settings.Calls.ShutdownTimeout)).Should(BeClosed())
		Expect(node.ExitStatus()).To(BeZero())
	}, SpecTimeout(specTimeout))
})

var _ = Describe("A node that has few open files", func() {
	const (
		fewFiles   = 400
		fewClients = 600
	)
	DescribeTable("has some left for others beside a crowd", func(ctx SpecContext, script script, listener func(*qhsite.Node) qhid.Address) {
		f := newFleet(ctx, fewFiles)
		node := f.target(atOther).Node
		f.expectOrdinaryCalls(ctx, node, 1)
		newCrowd(ctx, listener(node), fewClients, script)
		f.expectOrdinaryCalls(ctx, node, ordinaryCallCount)
		f.expectWithinLimits()
	},
		Entry("that sends nothing", SpecTimeout(specTimeout), text(""), func(n *qhsite.Node) qhid.Address { return n.Settings.Listen.Callers }),
		Entry("that keeps its connections after a response", SpecTimeout(specTimeout), text("GET /slots/today HTTP/1.1\r\nHost: x\r\n\r\n"),
			func(n *qhsite.Node) qhid.Address { return n.Settings.Listen.Callers }),
		Entry("that begins a request", SpecTimeout(specTimeout), text(lookup), func(n *qhsite.Node) qhid.Address { return n.Settings.Listen.Callers }),
		Entry("of HTTP/2 connections", SpecTimeout(specTimeout), text(preface), func(n *qhsite.Node) qhid.Address { return n.Settings.Listen.Callers }),
		Entry("at the listener of operators", SpecTimeout(specTimeout), text(""), func(n *qhsite.Node) qhid.Address { return n.Settings.Listen.Operators }),
		Entry("at the listener of targets", SpecTimeout(specTimeout), text(""), func(n *qhsite.Node) qhid.Address { return n.Settings.Listen.Targets }),
		Entry("at the listener of peers", SpecTimeout(specTimeout), text(""), func(n *qhsite.Node) qhid.Address { return n.Settings.Listen.Peers }),
		Entry("at the listener of forwarded calls", SpecTimeout(specTimeout), text(""), func(n *qhsite.Node) qhid.Address { return n.Settings.Listen.ForwardedCalls }),
	)
})

var _ = Describe("A single client within the limits", func() {
	const maxBody = 1 << 20 // of the route, as in the intents

	DescribeTable("is served", func(ctx SpecContext, script script) {
		f := newFleet(ctx, crowdFiles)
		for _, node := range f.Nodes {
			Expect(exchange(ctx, node, script)).To(HavePrefix("HTTP/1.1 200 "), "at %s", node.Settings.ID)
		}
		f.expectWithinLimits()
	},
		Entry("with a head full of short lines", SpecTimeout(specTimeout), text(lookup+"Connection: close\r\n"+distinctLines(legalHead)+"\r\n")),
		Entry("with a head full of lines of one name", SpecTimeout(specTimeout), text(lookup+"Connection: close\r\n"+strings.Repeat("a:\r\n", legalHead/4)+"\r\n")),
		Entry("with a body in chunks of one byte", SpecTimeout(specTimeout),
			text(upload+"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat(chunk(1), maxBody)+"0\r\n\r\n")),
		Entry("with a full head and a body in chunks of one byte", SpecTimeout(specTimeout),
			text(upload+"Connection: close\r\nTransfer-Encoding: chunked\r\n"+distinctLines(legalHead)+"\r\n"+strings.Repeat(chunk(1), maxBody)+"0\r\n\r\n")),
		Entry("with chunk extensions and a trailer", SpecTimeout(specTimeout),
			text(upload+"Connection: close\r\nTransfer-Encoding: chunked\r\nTrailer: a\r\n\r\n"+strings.Repeat("1;a=b\r\nx\r\n", 10_000)+"0\r\na: b\r\n\r\n")),
		Entry("with the longest body of a known length", SpecTimeout(specTimeout),
			text(upload+"Connection: close\r\nContent-Length: "+strconv.Itoa(maxBody)+"\r\n\r\n"+strings.Repeat("x", maxBody))),
	)
})
