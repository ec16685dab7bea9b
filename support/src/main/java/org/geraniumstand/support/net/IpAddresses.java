package org.geraniumstand.support.net;

import java.util.regex.Pattern;

/** Recognizes IP addresses to which this process can connect. */
public final class IpAddresses {
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])";

    /** Dotted-decimal form; addresses below 1.0.0.0 and from 224.0.0.0 on are not the address of a single host. */
    private static final Pattern UNICAST_IPV4 =
            Pattern.compile("(22[0-3]|2[01][0-9]|1[0-9][0-9]|[1-9][0-9]?)(\\." + OCTET + "){3}");

    private static final Pattern PORT = Pattern.compile("[1-9][0-9]{0,4}");
    private static final int MAX_PORT = 65_535;

    private IpAddresses() {}

    /**
     * Returns whether a text is the IPv4 address of a single host in dotted-decimal form. IPv6 addresses are refused because
     * hosts are connected by IPv4 only, and names because they would have to be looked up.
     *
     * @param text the text to check
     */
    public static boolean isUnicastIpv4(String text) {
        return UNICAST_IPV4.matcher(text).matches();
    }

    /**
     * Returns whether a text is a TCP port that a host can listen on, in decimal digits without a sign.
     *
     * @param text the text to check
     */
    public static boolean isPort(String text) {
        return PORT.matcher(text).matches() && isPort(Integer.parseInt(text));
    }

    /**
     * Returns whether a number is a TCP port that a host can listen on.
     *
     * @param port the number to check
     */
    public static boolean isPort(int port) {
        return port >= 1 && port <= MAX_PORT;
    }
}
