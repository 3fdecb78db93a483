package org.verbenawheel.command;

import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;

/** Formats rows of text as aligned columns. */
final class Table {
  private static final String GAP = "  ";

  private final List<ImmutableList<String>> rows = new ArrayList<>();

  /**
   * Creates a table that has only a header.
   *
   * @param header the name of each column
   */
  Table(String... header) {
    rows.add(ImmutableList.copyOf(header));
  }

  /**
   * Adds a row.
   *
   * @param cells one value for each column, printed with {@code toString()}
   */
  void add(Object... cells) {
    ImmutableList.Builder<String> row = ImmutableList.builder();
    for (Object cell : cells) {
      row.add(cell.toString());
    }
    rows.add(row.build());
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    for (ImmutableList<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int column = 0; column < row.size(); column++) {
        line.append(Strings.padEnd(row.get(column), width(column), ' ')).append(GAP);
      }
      text.append(line.toString().stripTrailing()).append('\n');
    }
    return text.toString();
  }

  private int width(int column) {
    return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
  }
}
