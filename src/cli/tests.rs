use super::*;

#[test]
fn the_command_line_is_in_order_and_every_option_has_help_and_a_name_in_the_environment() {
    let command = Cli::command();
    command.clone().debug_assert();
    for arg in command.get_arguments() {
        assert!(arg.get_help().is_some(), "{arg}");
        assert!(arg.get_env().is_some(), "{arg}");
    }
}
