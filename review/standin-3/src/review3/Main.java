package review3;

import java.nio.file.Path;

/** Plays one case: {@code Main CASE REPOSITORY FOLDER}; exits with 0, 1 or 2. */
final class Main {
  private Main() {}

  public static void main(String[] arguments) {
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    System.setProperty("sun.net.httpserver.nodelay", "true");
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Setting setting =
        new Setting(Path.of(arguments[1]).toAbsolutePath(), Path.of(arguments[2]).toAbsolutePath());
    int code = 2;
    try {
      code =
          switch (arguments[0]) {
            case "busy-entry" -> BusyEntry.play(setting, trouble);
            case "lasting" -> Lasting.play(setting, trouble);
            case "same-place" -> SamePlace.play(setting, trouble);
            case "cut-off" -> CutOff.play(setting, trouble);
            case "pending" -> Pending.play(setting, trouble);
            default -> 2;
          };
    } catch (Exception failed) {
      failed.printStackTrace();
    }
    System.out.println(code == 0 ? "held" : code == 1 ? "broken" : "could not run");
    Runtime.getRuntime().halt(code);
  }
}
