package org.fescuehollow.gateway.log;

import static org.assertj.core.api.BDDAssertions.then;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EventLogTest {
    private static final int ROUNDS = 20;

    /** The writer has taken the first line by then, and has not written it yet. */
    private static final long WITHIN_A_BATCH_MILLIS = 20;

    @Test
    void flush_writesAllLinesInOrder() throws InterruptedException {
        for (int i = 0; i < ROUNDS; i++) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            EventLog log = new EventLog(out);
            log.event("first");
            TimeUnit.MILLISECONDS.sleep(WITHIN_A_BATCH_MILLIS);
            log.event("second");
            log.flush();
            String text = out.toString(StandardCharsets.UTF_8);
            then(text.lines().map(l -> l.substring(l.indexOf(' ') + 1)))
                    .containsExactly("event=first", "event=second");
        }
    }

    @Test
    void writer_writesEachLineOnce() throws InterruptedException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        EventLog log = new EventLog(out);
        log.event("first");
        TimeUnit.MILLISECONDS.sleep(WITHIN_A_BATCH_MILLIS);
        log.flush();
        log.event("second");
        TimeUnit.MILLISECONDS.sleep(500);
        log.flush();
        then(out.toString(StandardCharsets.UTF_8).lines()).hasSize(2);
    }
}
