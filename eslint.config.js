import gts from 'gts';

export default [
  {ignores: ['build/', 'eslint.config.js']},
  ...gts,
  {
    files: ['test/**/*.ts', 'bench/**/*.ts', 'model/**/*.ts'],
    rules: {'n/no-unpublished-import': 'off'},
  },
];
