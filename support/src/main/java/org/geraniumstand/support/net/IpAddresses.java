package org.geraniumstand.support.net;

import org.wildfly.common.net.Inet;

/** Recognizes IP addresses. */
public final class IpAddresses {
    private IpAddresses() {}

    /**
     * Returns whether a text is an IP address and not a host name, which would have to be looked up.
     *
     * @param text the text to check
     */
    public static boolean isAddress(String text) {
        return Inet.parseInetAddress(text) != null;
    }
}
