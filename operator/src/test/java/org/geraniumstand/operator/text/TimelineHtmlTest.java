package org.geraniumstand.operator.text;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.time.HybridTime;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.model.timeline.TimelineEvent;
import org.junit.jupiter.api.Test;

final class TimelineHtmlTest {
    private static final Pattern MARK = Pattern.compile("class=\"mark ([a-z]+)\"[^>]* cx=\"(\\d+)\" cy=\"(\\d+)\"");

    private final List<TimelineEvent> events = List.of(
            event(1_000, "p1", EventKind.CONFIGURATION_IN_FORCE, "7"),
            event(1_000, "p1", EventKind.STORE_STATE, "down"),
            event(3_000, "p2", EventKind.REQUEST_REFUSED, "<script>alert(1)</script>"));

    private final String page = TimelineHtml.page(events);

    @Test
    void drawsLanePerProcessAndMarkAndRowPerEvent() {
        assertThat(count("class=\"lane-name\""), is(2));
        assertThat(count("<tr id=\"event-"), is(3));
        assertThat(count("class=\"mark "), is(3));
        assertThat(count("data-filter=\""), is(3));
        assertThat(page, containsString("class=\"mark configuration\" data-kind=\"configuration-in-force\""));
        assertThat(page, containsString("class=\"mark refusal\" data-kind=\"request-refused\""));
    }

    @Test
    void pageIsSelfContainedAndEscapesEventText() {
        assertThat(page, not(containsString("http:")));
        assertThat(page, not(containsString("https:")));
        assertThat(page, not(containsString("src=")));
        assertThat(page, not(containsString("<script>alert")));
        assertThat(page, containsString("&lt;script&gt;alert(1)"));
    }

    @Test
    void placesMarksByTimeAndSeparatesCloseMarks() {
        Matcher marks = MARK.matcher(page);
        assertThat(marks.find(), is(true));
        int firstX = Integer.parseInt(marks.group(2));
        int firstY = Integer.parseInt(marks.group(3));
        assertThat(marks.find(), is(true));
        assertThat(Integer.parseInt(marks.group(2)), is(firstX));
        assertThat(Integer.parseInt(marks.group(3)), not(firstY));
        assertThat(marks.find(), is(true));
        assertThat(Integer.parseInt(marks.group(2)) > firstX, is(true));
    }

    @Test
    void showsFieldsAndReasonOnHover() {
        assertThat(page, containsString("<title>00:00:01.000  p1"));
        assertThat(page, containsString("value=7  # Because.</title>"));
    }

    @Test
    void returnsEmptyPageWithoutEvents() {
        assertThat(TimelineHtml.page(List.of()), containsString("</html>"));
    }

    private int count(String text) {
        return page.split(Pattern.quote(text), -1).length - 1;
    }

    private static TimelineEvent event(long millis, String process, EventKind kind, String value) {
        return new TimelineEvent(
                new HybridTime(millis, 0), new ProcessId(process), kind, "Because.", List.of(Field.of("value", value)));
    }
}
