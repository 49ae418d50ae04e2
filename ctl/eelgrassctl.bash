# Bash completion for eelgrassctl.
_eelgrassctl() {
  local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]}
  local commands="rules status nodes servers drain watch"
  local rules="check show edit apply history blame undo reference"
  local options="--node --token-file --who --add --remove --replace --base
    --rounds --off --json --help --version"
  local i command=

  case $previous in
  --token-file | check | apply)
    mapfile -t COMPREPLY < <(compgen -f -- "$word")
    return
    ;;
  --node | --who | --add | --remove | --replace | --base | --rounds) return ;;
  esac
  for ((i = 1; i < COMP_CWORD; i++)); do
    case ${COMP_WORDS[i]} in
    rules | status | nodes | servers | drain | watch)
      command=${COMP_WORDS[i]}
      break
      ;;
    esac
  done
  if [[ $word == -* ]]; then
    mapfile -t COMPREPLY < <(compgen -W "$options" -- "$word")
  elif [[ -z $command ]]; then
    mapfile -t COMPREPLY < <(compgen -W "$commands" -- "$word")
  elif [[ $command == rules && $previous == rules ]]; then
    mapfile -t COMPREPLY < <(compgen -W "$rules" -- "$word")
  fi
}
complete -F _eelgrassctl eelgrassctl
