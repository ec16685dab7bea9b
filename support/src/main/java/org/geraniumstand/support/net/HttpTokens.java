package org.geraniumstand.support.net;

/** Tells which bytes a token of HTTP may hold, such as the name of a field. Source: RFC 9110, section 5.6.2. */
public final class HttpTokens {
    private static final int BYTE_VALUES = 256;
    private static final String MARKS = "!#$%&'*+-.^_`|~";
    private static final boolean[] ALLOWED = allowed();

    private HttpTokens() {}

    /**
     * Returns whether a token may hold a byte.
     *
     * @param next the byte, from 0 to 255
     */
    public static boolean allows(int next) {
        return ALLOWED[next];
    }

    private static boolean[] allowed() {
        boolean[] allowed = new boolean[BYTE_VALUES];
        for (int next = 0; next < BYTE_VALUES; next++) {
            allowed[next] = (next >= 'a' && next <= 'z')
                    || (next >= 'A' && next <= 'Z')
                    || (next >= '0' && next <= '9')
                    || MARKS.indexOf(next) >= 0;
        }
        return allowed;
    }
}
