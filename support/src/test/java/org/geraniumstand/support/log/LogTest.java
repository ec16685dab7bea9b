package org.geraniumstand.support.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.geraniumstand.model.timeline.Field;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class LogTest {
    private final List<String> lines = new ArrayList<>();
    private final Handler handler = new RecordingHandler();
    private final Log log = Log.of(LogTest.class);

    @BeforeEach
    void installHandler() {
        Logger.getLogger("").addHandler(handler);
    }

    @AfterEach
    void uninstallHandler() {
        Logger.getLogger("").removeHandler(handler);
    }

    @Test
    void writesEventAndFieldsOnOneLine() {
        log.info("move-ended", Field.of("move", "m1"), Field.of("share", 12.5));

        assertThat(lines, contains("event=move-ended move=m1 share=12.5"));
    }

    @Test
    void quotesValuesWithSeparatorsOrLineBreaks() {
        log.warn("bad-input", Field.of("text", "a=b \"c\"\r\nevent=fake"), Field.of("empty", ""));

        assertThat(lines, contains("event=bad-input text=\"a=b \\\"c\\\"\\r\\nevent=fake\" empty=\"\""));
    }

    @Test
    void suppressesDebugEventsByDefault() {
        log.debug("detail");
        log.info("shown");

        assertThat(lines, contains("event=shown"));
    }

    @Test
    void redactsSecretFieldsByName() {
        log.info("started", Field.of("token", "abc"), Field.of("sharedKey", "abc"), Field.of("authorization", "abc"));

        assertThat(lines, contains("event=started token=*** sharedKey=*** authorization=***"));
    }

    /** Records the messages of all log records. */
    private final class RecordingHandler extends Handler {
        @Override
        public void publish(LogRecord entry) {
            lines.add(entry.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }
}
