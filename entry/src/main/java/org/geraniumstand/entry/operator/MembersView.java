package org.geraniumstand.entry.operator;

import java.util.List;
import org.geraniumstand.model.status.MemberStatus;

/** Returns the live members, including this process, with the generation in force at each. */
@FunctionalInterface
public interface MembersView {
    /** Returns all live members. */
    List<MemberStatus> members();
}
