package org.geraniumstand.entry.operator;

import java.util.List;
import org.geraniumstand.model.status.MemberStatus;

/** Knows the live members and the generation in force at each, this process included. */
@FunctionalInterface
public interface MembersView {
    /** Returns all live members. */
    List<MemberStatus> members();
}
