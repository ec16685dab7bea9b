package org.geraniumstand.http.fake;

import java.util.Locale;
import java.util.Random;

/** Frames the body of a request at random, with a length or in chunks. */
public final class FramedBody {
    private FramedBody() {}

    /**
     * Returns the end of a head and the body behind it.
     *
     * @param body the body
     * @param random chooses between a length and chunks, and the sizes of these
     */
    public static String of(String body, Random random) {
        if (random.nextBoolean()) {
            return "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }
        StringBuilder chunks = new StringBuilder("Transfer-Encoding: chunked\r\n\r\n");
        for (int start = 0; start < body.length(); ) {
            int end = Math.min(body.length(), start + 1 + random.nextInt(500));
            chunks.append(Integer.toHexString(end - start).toLowerCase(Locale.ROOT))
                    .append("\r\n")
                    .append(body, start, end)
                    .append("\r\n");
            start = end;
        }
        return chunks.append("0\r\n\r\n").toString();
    }
}
