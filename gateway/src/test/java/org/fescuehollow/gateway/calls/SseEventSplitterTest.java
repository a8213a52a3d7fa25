package org.fescuehollow.gateway.calls;

import static org.assertj.core.api.BDDAssertions.then;

import io.vertx.core.buffer.Buffer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class SseEventSplitterTest {
    private static final String STREAM = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

    @Test
    void feed_keepsAPartialEvent() {
        SseEventSplitter splitter = new SseEventSplitter();
        then(splitter.feed(Buffer.buffer("id: 1\ndata: a\n\nid: 2\nda")).toString())
                .isEqualTo("id: 1\ndata: a\n\n");
        then(splitter.lastEventId()).isEqualTo("1");
        then(splitter.hasPartialEvent()).isTrue();
        splitter.dropPartialEvent();
        then(splitter.feed(Buffer.buffer("id: 2\ndata: b\n\n")).toString())
                .isEqualTo("id: 2\ndata: b\n\n");
        then(splitter.lastEventId()).isEqualTo("2");
    }

    @Property(tries = 200, seed = "20261204")
    void feed_losesNothingWhereverTheStreamIsSplit(@ForAll @IntRange(min = 1, max = 44) int cut) {
        SseEventSplitter splitter = new SseEventSplitter();
        String out =
                splitter.feed(Buffer.buffer(STREAM.substring(0, cut))).toString()
                        + splitter.feed(Buffer.buffer(STREAM.substring(cut)));
        then(out).isEqualTo(STREAM);
        then(splitter.hasPartialEvent()).isFalse();
        then(splitter.lastEventId()).isEqualTo("3");
    }
}
